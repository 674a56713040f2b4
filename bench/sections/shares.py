"""Shares, goodput and urgent starts under load, against the naive policy."""

from bench.experiments.share_scenario import make_scenarios
from bench.experiments.shares import run_scenario
from bench.figures import Figures
from bench.sections.flatten import add_document, make_name

BOTH = ('shares', 'naive')
# The naive policy is left out where it tells nothing new, to keep the whole run below 8 minutes.
SCENARIOS = {
    'saturation x1': ('shares',),
    'saturation x5': BOTH,
    'greedy team': BOTH,
    'uneven entries': BOTH,
    'ceiling of 9': ('shares',),
}


def measure(figures: Figures) -> None:
    """Add the figures of the main scenarios under each of their policies."""
    for scenario in make_scenarios():
        for policy in SCENARIOS.get(scenario.name, ()):
            prefix = make_name('shares', scenario.name, policy)
            share = run_scenario(scenario, policy)
            if not share.valid:
                figures.mark_invalid(prefix, '; '.join(share.faults))
                continue
            figures.add(f'{prefix}_offered_hz', share.offered_hz)
            figures.add(f'{prefix}_goodput_hz', share.goodput_hz)
            figures.add(f'{prefix}_lowest_attained_ratio', share.lowest_attained)
            figures.add(f'{prefix}_mean_attained_ratio', share.mean_attained)
            add_document(figures, f'{prefix}_refused', share.refused)
            add_document(figures, f'{prefix}_ceiling_excess_units', share.excess)
