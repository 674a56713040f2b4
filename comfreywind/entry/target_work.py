"""One exchange with a target and what is held for it."""

from collections.abc import Callable

import trio

from comfreywind.entry.service_tasks import ServiceTasks
from comfreywind.entry.target_connection import TargetConnection
from comfreywind.entry.target_connections import TargetConnections

# Bounds the difference between the clocks of the entry and the worker (docs/design.md, 5.1).
LEASE_MARGIN_S = 2.0


class TargetWork:
    """Holds a connection and a unit until the work at the target has ended.

    An executor stops a task whose connection is closed and then closes its own side. So an exchange
    that is given up releases its unit when the target has closed, and at the latest
    `LEASE_MARGIN_S` after the end of the lease, which the worker enforces. A unit released earlier
    could exceed the ceiling of the team.
    """

    def __init__(
        self,
        connections: TargetConnections,
        connection: TargetConnection,
        release: Callable[[], None],
        run_until_s: float,
        services: ServiceTasks,
    ) -> None:
        """Take over the leased connection; `run_until_s` is a monotonic trio time."""
        self.connection = connection
        self._connections = connections
        self._release = release
        self._run_until_s = run_until_s
        self._services = services
        self._ended = False

    def end(self, complete: bool = False, keeps_place: bool = False) -> None:
        """Give back what is held; unless the answer is complete, once the target has stopped.

        After a refusal the place stays with the caller of this, who gives it back as not used.
        """
        if self._ended:
            return
        self._ended = True
        stream = self.connection.stream
        if complete:
            self._connections.note_answer(self.connection)
        if not complete and stream.byte_sent and not stream.peer_closed:
            self._services.start(self._wait_for_target)
            return
        if complete and self.connection.is_idle():
            self._connections.keep(self.connection)
        else:
            self._connections.close(self.connection)
        if not keeps_place:
            self._release()

    async def _wait_for_target(self) -> None:
        try:
            with trio.move_on_at(self._run_until_s + LEASE_MARGIN_S):
                await self.connection.stream.wait_for_peer_close()
        finally:
            self._connections.close(self.connection)
            self._release()
