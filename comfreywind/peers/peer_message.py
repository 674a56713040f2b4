"""Base class of the messages between entry processes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message; its class name is its type on the wire, its fields are plain values."""
