"""Fences of successive terms, also of holders of an earlier version."""

import itertools

import pytest

from comfreywind.decisions.scheduling.fences import (
    FENCES_PER_TERM,
    compute_first_fence,
    compute_next_epoch,
)


@pytest.mark.parametrize('versions', itertools.product(('earlier', 'present'), repeat=4))
def test_terms_keep_apart(versions: tuple[str, ...]) -> None:
    """Gives no fence of an earlier term to a later one, whichever version held them.

    A node of the earlier version counts terms by one, and uses the epoch as its only fence.
    """
    epoch = highest = 0
    for version in versions:
        epoch = epoch + 1 if version == 'earlier' else compute_next_epoch(epoch)
        first = epoch if version == 'earlier' else compute_first_fence(epoch)
        assert first > highest
        highest = epoch
        assert version == 'earlier' or epoch - first == FENCES_PER_TERM - 1
