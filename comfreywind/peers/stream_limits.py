"""Time limits of peer streams."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Limits in seconds, from docs/design.md section 3.5."""

    heartbeat_interval_s: float = 0.25
    silent_s: float = 1.5
    connect_timeout_s: float = 1
