"""The waits in the row of the term, by which nodes refuse jobs."""

import pytest
import trio

from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.team import Team
from comfreywind.scheduling.pending_count import PendingCount
from comfreywind.scheduling.queue_wait import AGE_LIMIT_S, QueueWait, pack_waits, unpack_waits
from comfreywind.scheduling.term_row import FIELD_TYPES, TermRow, decode_term, encode_term
from tests.scheduling.test_pending_count import run_nodes, step_down

TEAMS = [f'department-{number:02}' for number in range(20)]
QUEUES = [f'rebuild-{number}' for number in range(8)]
CAPACITY = Resources(2_944_000, 11_776 * 1024)
NOW_MS = 1_765_000_000_000
WAITS = {
    queue: QueueWait(1e30, CAPACITY, {team: 20.0 + place for place, team in enumerate(TEAMS)})
    for queue in QUEUES
}


def test_row_stays_small() -> None:
    """A row that is written four times a second must not grow with queues and teams.

    Earlier versions must not fail on it: they need a map with names as keys.
    """
    assert pack_waits({}, TEAMS, 4100, NOW_MS) == {}
    packed = pack_waits(WAITS, TEAMS, 4100, NOW_MS)
    assert isinstance(packed, FIELD_TYPES['refused'])
    assert all(isinstance(name, str) for name in packed)
    pending = PendingCount(dict.fromkeys(QUEUES, 900), NOW_MS).pack()
    late_ms = NOW_MS + 0.5
    row = TermRow('node-048', 48_000, 500_000, False, 1.0, late_ms, pending, packed, late_ms)
    assert len(encode_term(row)) < 400
    published = unpack_waits(decode_term(encode_term(row)).refused, TEAMS, 4100, NOW_MS + 500)
    assert published is not None
    assert published.age_s == pytest.approx(0.5)
    listed = {team for wait in published.waits.values() for team in wait.team_waits_s}
    assert TEAMS[-1] in listed, 'the longest waits are kept'
    assert published.waits[QUEUES[0]].capacity == CAPACITY


@pytest.mark.parametrize(
    ('packed', 'later_ms'),
    [
        ({}, 0),
        (pack_waits(WAITS, TEAMS, 4100, NOW_MS), AGE_LIMIT_S * 1000 + 1),
        (pack_waits(WAITS, TEAMS, 4100, NOW_MS), -1),
        (pack_waits(WAITS, TEAMS, 4101, NOW_MS), 0),
        ({'': [NOW_MS, 4100], 'rebuild-0': [1, 2, 3, 99, 5]}, 0),
        ({'': [NOW_MS, 4100], 'rebuild-0': [1, 2]}, 0),
        ({'rebuild-0': 7.0}, 0),
    ],
    ids=['absent', 'old', 'future', 'other rules', 'unknown team', 'short', 'as of a plan'],
)
def test_figures_absent_or_old(packed: dict[str, list[int]], later_ms: float) -> None:
    """Without figures of the last 2 s that fit to the rules, nothing may be refused."""
    rules = JobRules(4100, teams={team: Team(team) for team in TEAMS})
    assert unpack_waits(packed, rules.teams, rules.version, NOW_MS + later_ms) is None


async def test_holder_dies(autojump_clock: trio.testing.MockClock) -> None:
    """Figures of a holder that is gone expire, and it can't publish any in the term of the next."""
    rules = JobRules(4100, teams={team: Team(team) for team in TEAMS})
    async with trio.open_nursery() as nursery:
        nodes = await run_nodes(nursery)
        term = nodes.holder.held
        assert term is not None
        nodes.holder.publish_waits(term, WAITS, rules, trio.current_time())
        await trio.sleep(1)
        published = nodes.other.read_waits(rules)
        assert published is not None
        assert published.age_s == pytest.approx(1)
        await step_down(nodes)
        await trio.sleep(AGE_LIMIT_S - 0.9)
        assert nodes.other.read_waits(rules) is None
        await nodes.wait_for_other()
        nodes.other.publish_waits(term, WAITS, rules, trio.current_time())
        nodes.holder.publish_waits(term, WAITS, rules, trio.current_time())
        await trio.sleep(1)
        assert nodes.other.read_waits(rules) is None
        nursery.cancel_scope.cancel()
