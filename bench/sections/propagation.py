"""Time until a bundle version and a key withdrawal are obeyed by the last entry."""

from bench.figures import Figures
from bench.propagation import measure_changes
from bench.sections.flatten import add_document


def measure(figures: Figures) -> None:
    """Add the figures with the push to peers and with the change feed alone."""
    for name, push in (('push', True), ('feed_only', False)):
        document = measure_changes(push)
        add_document(figures, f'propagation_{name}_roll_out_s', document['roll_out_s'])
        add_document(figures, f'propagation_{name}_withdrawal_s', document['withdrawal_s'])
