"""Decides which connections a server accepts."""

from typing import Protocol


class ConnectionGate(Protocol):
    """Is asked about each new connection and told about its end."""

    def open(self) -> bool:
        """Return whether to serve a new connection, and count it if so."""

    def close(self) -> None:
        """Count the end of a connection that was served."""


class OpenGate:
    """Accepts every connection."""

    def open(self) -> bool:
        """Return True."""
        return True

    def close(self) -> None:
        """Do nothing."""
