"""Time limits of peer streams."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Limits from docs/design.md section 3.5.

    A stream without a heartbeat or an echo for `silent_s` is closed.
    """

    heartbeat_interval_s: float = 0.25
    silent_s: float = 1.5
    connect_timeout_s: float = 1
