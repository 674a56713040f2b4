"""Cost of an entry without requests."""

from bench.experiments import at_rest
from bench.figures import Figures

SIZES = (at_rest.Size(3, 40, 6, 5), at_rest.Size(3, 2000, 6, 5))


def measure(figures: Figures) -> None:
    """Add the figures of two sizes; `python -m bench.experiments.at_rest` runs all."""
    at_rest.measure(figures, SIZES)
