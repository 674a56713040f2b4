"""Recognises a demand that comes again, so that a pool grows to its former peak at once."""

from dataclasses import dataclass

# A surge begins and ends at this part of the peak of the one before; between turns the users' queues
# ask an eightieth of their peak.
EDGE_PART = 0.15
# Smaller loads are no surge: a pool's smallest size carries them.
LEAST_PEAK_VMS = 2.0
# A surge is another one after so long a quiet time; tasks of a burst take about a second.
QUIET_S = 1.0


@dataclass(slots=True)
class Surge:
    """A rise of the load of a pool: its start, its peak so far and when that was reached."""

    start_s: float
    peak_vms: float = 0
    peak_s: float = 0
    last_loud_s: float = 0


class BurstMemory:
    """Follows the load of one pool and tells what the surge under way will reach.

    The last surge that is over is the model for the one under way, as long as it began less than
    `memory_s` before. Loads are in VMs, times on one steady clock.
    """

    def __init__(self, memory_s: float) -> None:
        """Start without any surge known; with a memory of 0 nothing is ever expected."""
        self._memory_s = memory_s
        self._model: Surge | None = None
        self._current: Surge | None = None

    def record_load(self, load_vms: float, now_s: float) -> float:
        """Take in the present load and return the load to expect, 0 when nothing is known."""
        self._follow(load_vms, now_s)
        model, current = self._model, self._current
        if model is None or current is None or now_s - model.start_s > self._memory_s:
            return 0
        rise_s = model.peak_s - model.start_s
        return model.peak_vms if now_s - current.start_s <= rise_s else 0

    def _follow(self, load_vms: float, now_s: float) -> None:
        current = self._current
        if current is None:
            if load_vms > self._find_edge_vms(self._model):
                self._current = Surge(now_s, load_vms, now_s, now_s)
            return
        if load_vms > current.peak_vms:
            current.peak_vms = load_vms
            current.peak_s = now_s
        if load_vms > self._find_edge_vms(current):
            current.last_loud_s = now_s
        elif now_s - current.last_loud_s >= QUIET_S:
            self._current = None
            if current.peak_vms >= LEAST_PEAK_VMS:
                self._model = current

    def _find_edge_vms(self, surge: Surge | None) -> float:
        peak_vms = LEAST_PEAK_VMS if surge is None else max(surge.peak_vms, LEAST_PEAK_VMS)
        return peak_vms * EDGE_PART
