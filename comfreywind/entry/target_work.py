"""An exchange with a target and the resources that it holds."""

from collections.abc import Callable

import trio

from comfreywind.entry.service_tasks import ServiceTasks
from comfreywind.entry.target_connection import TargetConnection
from comfreywind.entry.target_connections import TargetConnections

# Upper limit of the clock difference between the entry and the worker (docs/design.md, 5.1).
LEASE_MARGIN_S = 2.0


class TargetExchange:
    """Holds a connection and a unit until the task at the target has ended.

    An executor stops a task whose connection is closed and then closes its own side. An aborted
    exchange therefore releases its unit when the target has closed the connection, but no later
    than `LEASE_MARGIN_S` after the end of the lease, which the worker enforces. If the unit were
    released earlier, the team could exceed its ceiling.
    """

    def __init__(
        self,
        connections: TargetConnections,
        connection: TargetConnection,
        release: Callable[[], None],
        run_until_s: float,
        services: ServiceTasks,
    ) -> None:
        """Take ownership of the connection; `run_until_s`, the end of the lease, is a trio time."""
        self.connection = connection
        self._connections = connections
        self._release = release
        self._run_until_s = run_until_s
        self._services = services
        self._ended = False

    def end(self, complete: bool = False, keeps_placement: bool = False) -> None:
        """Release the connection and the unit; if the answer is incomplete, wait for the target.

        With `keeps_placement` only the connection is released: the target has rejected the request,
        and the caller of this method releases the placement as not used.
        """
        if self._ended:
            return
        self._ended = True
        stream = self.connection.stream
        if complete:
            self._connections.record_answer(self.connection)
        if not complete and stream.byte_sent and not stream.peer_closed:
            self._services.start(self._wait_for_target)
            return
        if complete and self.connection.is_idle():
            self._connections.add_idle(self.connection)
        else:
            self._connections.close(self.connection)
        if not keeps_placement:
            self._release()

    async def _wait_for_target(self) -> None:
        try:
            with trio.move_on_at(self._run_until_s + LEASE_MARGIN_S):
                await self.connection.stream.wait_for_peer_close()
        finally:
            self._connections.close(self.connection)
            self._release()
