"""Connections to the targets."""

import httpcore

from comfreywind.platform.vm_entry import VmEntry

KEEP_ALIVE_S = 5


class TargetClient:
    """One connection pool for each target address and incarnation."""

    def __init__(self, connections_limit: int) -> None:
        """Limit the connections to each target."""
        self._connections_limit = connections_limit
        self._pools: dict[tuple[str, str, int], httpcore.AsyncConnectionPool] = {}

    def find_pool(self, target: VmEntry) -> httpcore.AsyncConnectionPool:
        """Return the pool of the target, made when it is first needed."""
        pool_key = (target.name, str(target.address), target.incarnation)
        pool = self._pools.get(pool_key)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=self._connections_limit,
                max_keepalive_connections=self._connections_limit,
                keepalive_expiry=KEEP_ALIVE_S,
            )
            self._pools[pool_key] = pool
        return pool
