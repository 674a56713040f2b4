"""Base class of the messages between entry processes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message; its class name is the type on the wire and its fields hold plain values."""
