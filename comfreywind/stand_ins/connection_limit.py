"""Limits the connections to an executor."""

from comfreywind.stand_ins.connection_log import ConnectionLog


class ConnectionLimit:
    """Refuses connections beyond the limit and counts all of them in the log."""

    def __init__(self, name: str, limit: int, log: ConnectionLog) -> None:
        """Count for the executor `name`."""
        self._name = name
        self._limit = limit
        self._log = log

    def open(self) -> bool:
        """Count a new connection, or return False for one beyond the limit."""
        return self._log.open(self._name, self._limit)

    def close(self) -> None:
        """Count the end of a connection."""
        self._log.close(self._name)
