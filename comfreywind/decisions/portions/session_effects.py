"""Messages that an entry sends as the effect of a session event."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionEffect:
    """Base class of the effects of session events."""


@dataclass(frozen=True, slots=True)
class GrantPromise(SessionEffect):
    """Promise the holder not to agree to its fence while its extended session lasts."""

    holder: str


@dataclass(frozen=True, slots=True)
class RefusePromise(SessionEffect):
    """Refuse the promise; the holder must ask another member or renew in the store."""

    holder: str


@dataclass(frozen=True, slots=True)
class AgreeToFence(SessionEffect):
    """Agree to the fence of the holder, and report all flows between this entry and the holder."""

    holder: str
    renewal_number: int
