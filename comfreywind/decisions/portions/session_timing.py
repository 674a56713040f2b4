"""Times that the validity of sessions depends on."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionTiming:
    """Time to live of a session and by how much the rates of two clocks may differ."""

    ttl_s: float
    drift_ratio: float

    @property
    def observed_ttl_s(self) -> float:
        """Return how long another entry waits to be sure that a session has ended."""
        return self.ttl_s * (1 + self.drift_ratio)
