"""Effects of the events on a guard."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GuardEffect:
    """Base class of the effects."""


@dataclass(frozen=True, slots=True)
class GrantPromise(GuardEffect):
    """Tell the holder that its session is extended."""

    holder: str


@dataclass(frozen=True, slots=True)
class RefusePromise(GuardEffect):
    """Tell the holder that it must ask another member or the store."""

    holder: str


@dataclass(frozen=True, slots=True)
class AgreeToFence(GuardEffect):
    """Tell the asking member that this entry agrees, with all flows between it and the holder."""

    holder: str
    renewal_number: int
