"""FIFO queue of waiting requests."""

from collections import OrderedDict
from collections.abc import Iterator
from itertools import islice

from comfreywind.entry.waiter import Waiter


class Lane:
    """FIFO queue with removal in constant time at any position.

    Uses an OrderedDict: in a plain dict, finding the first key takes time proportional to the
    number of keys that were removed before it.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: OrderedDict[int, Waiter] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    def add(self, waiter: Waiter, at_front: bool) -> None:
        """Add a request at the back, or at the front if `at_front` is set."""
        self._waiters[waiter.number] = waiter
        if at_front:
            self._waiters.move_to_end(waiter.number, last=False)

    def remove(self, waiter: Waiter) -> bool:
        """Remove the request and return whether it was waiting."""
        return self._waiters.pop(waiter.number, None) is not None

    def peek(self, limit: int) -> Iterator[Waiter]:
        """Return the first requests, at most `limit`, without removing them."""
        return islice(self._waiters.values(), limit)
