"""Events that change a guard."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GuardEvent:
    """Base class of the events."""


@dataclass(frozen=True, slots=True)
class RenewalConfirmed(GuardEvent):
    """The store holds this entry's renewal, whose write was sent at `sent_s`."""

    sent_s: float
    renewal_number: int


@dataclass(frozen=True, slots=True)
class PromiseReceived(GuardEvent):
    """A member granted the promise that was asked for at `asked_s`."""

    asked_s: float


@dataclass(frozen=True, slots=True)
class PromiseAsked(GuardEvent):
    """A holder asks for a promise and states the highest renewal number that the store confirmed.

    `is_member` tells that a read of the members, made after this entry had joined, shows the holder
    as not fenced. An entry that joined after the fence was not asked to agree to it, so without such
    a read it could extend the session of a fenced holder.
    """

    holder: str
    renewal_number: int
    now_s: float
    is_member: bool


@dataclass(frozen=True, slots=True)
class FenceAsked(GuardEvent):
    """A member asks to agree to the fence of a holder at a renewal number."""

    holder: str
    renewal_number: int
    now_s: float


@dataclass(frozen=True, slots=True)
class RenewalSeen(GuardEvent):
    """The store shows a renewal of another holder."""

    holder: str
    renewal_number: int


@dataclass(frozen=True, slots=True)
class FenceSeen(GuardEvent):
    """The store shows that this incarnation was fenced."""
