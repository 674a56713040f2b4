"""The lab: the same decisions as in production over emulated pools and demand."""

from pathlib import Path

import pytest

from comfreywind.lab.arrivals import draw_arrivals
from comfreywind.lab.experiment import compare, play
from comfreywind.lab.outcome import Outcome
from comfreywind.lab.policies import POLICIES
from comfreywind.lab.scenarios import SCENARIOS
from tests.helpers.program import run_program

SEEDS = range(3)


@pytest.fixture(scope='module')
def outcomes() -> dict[str, list[Outcome]]:
    """Return the outcomes of all policies on demand that comes by turns."""
    return compare(SCENARIOS['turns-crowded'], list(POLICIES.values()), SEEDS, processes=2)


@pytest.mark.parametrize('replaced', ['earlier', 'naive', 'arrival-order'])
def test_turns(outcomes: dict[str, list[Outcome]], replaced: str) -> None:
    """Guards the gain on demand by turns, which asks a pool for more than it holds.

    The pattern is that of prevoz-plan-grown: for four seconds each pool in its turn is asked for
    four times its mean, and for a twentieth in between.
    """
    for usual, other in zip(outcomes['usual'], outcomes[replaced], strict=True):
        assert usual.served > other.served


def test_same_seed() -> None:
    """Guards against comparisons that differ by chance alone."""
    scenario = SCENARIOS['turns-small']
    assert play(scenario, POLICIES['usual'], 1) == play(scenario, POLICIES['usual'], 1)


def test_accounting(outcomes: dict[str, list[Outcome]]) -> None:
    """Guards against jobs that are counted twice or not at all."""
    scenario = SCENARIOS['turns-crowded']
    for seed, outcome in zip(SEEDS, outcomes['usual'], strict=True):
        arrivals = draw_arrivals(scenario.demands, scenario.length_s, seed, scenario.lead_s)
        assert outcome.on_time + outcome.late + outcome.unfinished == len(arrivals)
        assert outcome.owed == pytest.approx(sum(arrival.worth for arrival in arrivals))


def test_demand() -> None:
    """Guards against a demand whose work differs from the means that it names."""
    scenario = SCENARIOS['steady-small']
    arrivals = draw_arrivals(scenario.demands, 400, 1)
    for demand in scenario.demands:
        jobs = [each for each in arrivals if each.job.queue.name == demand.queue]
        assert len(jobs) == pytest.approx(400 * demand.jobs_per_s, rel=0.2)
        work_s = sum(sum(step) for job in jobs for step in job.durations_s) / len(jobs)
        mean_s = demand.mean_steps * demand.mean_tasks * demand.task_s
        assert work_s == pytest.approx(mean_s, rel=0.25)


@pytest.mark.parametrize(
    'args',
    [
        ('compare', 'usual', 'naive'),
        ('sweep', 'target_fill', '0.6', '0.9'),
        ('sweep', 'spare_vms', '0', '2'),
    ],
)
def test_command(args: tuple[str, ...], tmp_path: Path) -> None:
    """Guards against a table or a page without the policies that were asked for."""
    page = tmp_path / 'page.html'
    shown = run_program('lab', *args, '--seeds', '1', '--page', str(page))
    assert len(shown.stdout.splitlines()) == 3
    text = page.read_text(encoding='utf-8')
    assert text.count('<svg') == 1
