"""Recognises a recurring burst of demand, so that a pool grows to its previous peak at once."""

from dataclasses import dataclass

# A burst starts above this ratio of the previous burst's peak and ends below this ratio of its own.
# Between bursts the users' queues demand 1/80 of their peak.
EDGE_RATIO = 0.15
# A rise to a lower peak is no burst: the smallest size of a pool carries it.
MIN_PEAK_VMS = 2.0
# A burst is over after this time below its edge. Its tasks take about a second, so the load may
# drop for less time in the middle of it.
QUIET_S = 1.0


@dataclass(slots=True)
class Burst:
    """A rise of the load of a pool.

    `peak_s` is when the peak so far was reached, and `last_above_edge_s` when the load was last
    high enough for the burst to go on.
    """

    start_s: float
    peak_vms: float = 0
    peak_s: float = 0
    last_above_edge_s: float = 0


class BurstMemory:
    """Follows the load of one pool and predicts the peak of the burst in progress.

    The last burst that is over is the model for the one in progress, if it began at most
    `memory_s` before. Loads are in VMs, times on one monotonic clock.
    """

    def __init__(self, memory_s: float) -> None:
        """Start without any known burst; with a memory of 0 s no load is ever predicted."""
        self._memory_s = memory_s
        self._model: Burst | None = None
        self._current: Burst | None = None

    def record_load(self, load_vms: float, now_s: float) -> float:
        """Record the present load and return the load to expect, or 0 without a prediction.

        The peak of the model is expected for as long as that burst took to reach it.
        """
        self._follow(load_vms, now_s)
        model, current = self._model, self._current
        if model is None or current is None or now_s - model.start_s > self._memory_s:
            return 0
        rise_s = model.peak_s - model.start_s
        return model.peak_vms if now_s - current.start_s <= rise_s else 0

    def _follow(self, load_vms: float, now_s: float) -> None:
        current = self._current
        if current is None:
            if load_vms > self._compute_edge_vms(self._model):
                self._current = Burst(now_s, load_vms, now_s, now_s)
            return
        if load_vms > current.peak_vms:
            current.peak_vms = load_vms
            current.peak_s = now_s
        if load_vms > self._compute_edge_vms(current):
            current.last_above_edge_s = now_s
        elif now_s - current.last_above_edge_s >= QUIET_S:
            self._current = None
            if current.peak_vms >= MIN_PEAK_VMS:
                self._model = current

    def _compute_edge_vms(self, burst: Burst | None) -> float:
        peak_vms = MIN_PEAK_VMS if burst is None else max(burst.peak_vms, MIN_PEAK_VMS)
        return peak_vms * EDGE_RATIO
