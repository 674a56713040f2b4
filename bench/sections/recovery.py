"""Time until goodput is back after the loss of an entry or of targets."""

from bench.experiments import recovery
from bench.figures import Figures

NAMES = ('entry_killed', 'half_of_targets_killed_post')


def measure(figures: Figures) -> None:
    """Add the figures of two scenarios; `python -m bench.experiments.recovery` runs all."""
    chosen = [scenario for scenario in recovery.SCENARIOS if scenario.name in NAMES]
    recovery.measure(figures, tuple(chosen))
