"""Timing parameters of sessions."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionTiming:
    """Time to live of a session, and the ratio by which the rates of two clocks may differ."""

    ttl_s: float
    drift_ratio: float

    @property
    def observed_ttl_s(self) -> float:
        """Return the time after which another entry can be sure that a session has ended."""
        return self.ttl_s * (1 + self.drift_ratio)
