"""Faults of the store stand-in."""

from dataclasses import dataclass

PART_BACKLOG_S = 1.0


@dataclass(slots=True)
class StoreFaults:
    """Refuse all calls, answer none, lose the replies of the next writes, or answer all calls late.

    A transaction takes `transaction_s` in its part, one after another, and is refused when more
    than `PART_BACKLOG_S` of them are waiting. Quiet feeds tell of no changes.
    """

    refusing: bool = False
    silent: bool = False
    lost_replies: int = 0
    delay_s: float = 0
    transaction_s: float = 0
    quiet_feeds: bool = False
