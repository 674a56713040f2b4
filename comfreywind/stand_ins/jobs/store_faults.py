"""Faults of the store stand-in."""

from dataclasses import dataclass


@dataclass(slots=True)
class StoreFaults:
    """Refuse all calls, lose the replies of the next writes, or answer all calls late."""

    refusing: bool = False
    lost_replies: int = 0
    delay_s: float = 0
