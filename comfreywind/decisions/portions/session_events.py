"""Events that change the session state of an entry."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionEvent:
    """Base class of the session events."""


@dataclass(frozen=True, slots=True)
class RenewalConfirmed(SessionEvent):
    """The store has applied this entry's renewal; its write was sent at `sent_s`."""

    sent_s: float
    renewal_number: int


@dataclass(frozen=True, slots=True)
class PromiseReceived(SessionEvent):
    """A member granted the promise that this entry requested at `requested_s`."""

    requested_s: float


@dataclass(frozen=True, slots=True)
class PromiseRequested(SessionEvent):
    """A holder requests a promise.

    `renewal_number` is its highest renewal that the store has confirmed. `is_member` is True if the
    members, read after this entry had joined, include the holder as not fenced. Without that read,
    an entry that joined after a fence, and so was not asked to agree to it, could extend the
    session of the fenced holder.
    """

    holder: str
    renewal_number: int
    now_s: float
    is_member: bool


@dataclass(frozen=True, slots=True)
class FenceRequested(SessionEvent):
    """A member asks this entry to agree to the fence of a holder at this renewal number."""

    holder: str
    renewal_number: int
    now_s: float


@dataclass(frozen=True, slots=True)
class RenewalObserved(SessionEvent):
    """This entry has read a renewal of another holder from the store."""

    holder: str
    renewal_number: int


@dataclass(frozen=True, slots=True)
class FenceObserved(SessionEvent):
    """This entry has read from the store that its own incarnation was fenced."""
