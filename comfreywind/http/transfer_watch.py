"""Time limits of calls to a service whose answers may take longer than a call usually does."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from comfreywind.decisions.transfer_limit import CallProgress, compute_deadline_s


class TransferWatch:
    """Extends the time limits of the open calls to one service while large answers arrive.

    An answer that has outgrown the limit of a call would otherwise be given up and begun anew for
    ever, and the attempts would fill the link for all other calls. Clients of the same service
    share a watch, as their answers share the link.
    """

    def __init__(self) -> None:
        """Start without calls."""
        self._scopes: dict[int, tuple[CallProgress, trio.CancelScope]] = {}
        self._last_part_s: float | None = None

    @contextmanager
    def follow(self, call: CallProgress) -> Iterator[None]:
        """Limit the time of the call that the block makes; raise trio.TooSlowError beyond it."""
        scope = trio.CancelScope(deadline=compute_deadline_s(call, self._last_part_s))
        self._scopes[id(call)] = (call, scope)
        try:
            with scope:
                yield
        finally:
            del self._scopes[id(call)]
        if scope.cancelled_caught:
            raise trio.TooSlowError

    def note_part(self) -> None:
        """Note that a part of a large answer has arrived just now."""
        self._last_part_s = trio.current_time()
        for call, scope in self._scopes.values():
            scope.deadline = max(scope.deadline, compute_deadline_s(call, self._last_part_s))
