"""Waiting requests in the order of their start."""

from collections import OrderedDict
from collections.abc import Iterator
from itertools import islice

from comfreywind.entry.waiter import Waiter


class Lane:
    """First in, first out; any request leaves in constant time, wherever it stands.

    An OrderedDict is used because finding the first key of a plain dict takes longer with each key
    that was removed from its front.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: OrderedDict[int, Waiter] = OrderedDict()

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiters)

    def add(self, waiter: Waiter, at_front: bool) -> None:
        """Add a request at the back, or at the front when it had been placed before."""
        self._waiters[waiter.number] = waiter
        if at_front:
            self._waiters.move_to_end(waiter.number, last=False)

    def remove(self, waiter: Waiter) -> bool:
        """Remove the request and return whether it was waiting."""
        return self._waiters.pop(waiter.number, None) is not None

    def peek(self, limit: int) -> Iterator[Waiter]:
        """Return the first requests, at most `limit`."""
        return islice(self._waiters.values(), limit)
