"""Fences of orders to targets: every term has a range of its own, above those of all earlier terms.

A target refuses orders with a fence below the highest that it has received since it started. So a
higher fence of the same term makes a target that has restarted refuse orders which were sent before.
The epoch of a term, which its row names, is the highest fence of its range: a node of an earlier
version that takes the next term counts on from there.
"""

# A target that restarts more often within one term makes its holder take a new term.
FENCES_PER_TERM = 1000


def compute_next_epoch(epoch: int) -> int:
    """Return the epoch of the term after the one with `epoch`."""
    return epoch + FENCES_PER_TERM


def compute_first_fence(epoch: int) -> int:
    """Return the lowest fence of the term with `epoch`."""
    return epoch - FENCES_PER_TERM + 1
