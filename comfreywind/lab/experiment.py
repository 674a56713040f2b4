"""Plays scenarios under several policies and seeds, in processes of their own."""

from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor

from comfreywind.lab.arrivals import draw_arrivals
from comfreywind.lab.emulator import Emulator
from comfreywind.lab.lab_policy import LabPolicy
from comfreywind.lab.outcome import Outcome
from comfreywind.lab.scenario import Scenario


def play(scenario: Scenario, policy: LabPolicy, seed: int) -> Outcome:
    """Return the outcome of one run; the same arguments always give the same outcome."""
    arrivals = draw_arrivals(scenario.demands, scenario.length_s, seed, scenario.lead_s)
    return Emulator(scenario.fleet, arrivals, policy).run()


def compare(
    scenario: Scenario, policies: Sequence[LabPolicy], seeds: Sequence[int], processes: int
) -> dict[str, list[Outcome]]:
    """Return the outcomes of all seeds under each policy, by the policy's name."""
    with ProcessPoolExecutor(processes) as executor:
        futures = {
            policy.name: [executor.submit(play, scenario, policy, seed) for seed in seeds]
            for policy in policies
        }
        return {name: [future.result() for future in pending] for name, pending in futures.items()}


def find_mean(outcomes: Iterable[Outcome], figure: str) -> float:
    """Return the mean of one figure of the outcomes."""
    figures: list[float] = [getattr(outcome, figure) for outcome in outcomes]
    return sum(figures) / len(figures)
