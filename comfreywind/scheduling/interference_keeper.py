"""The task of the holder that judges interference and acts on it."""

from collections.abc import Callable

import trio

from comfreywind.clock import Clock
from comfreywind.metrics import Metrics
from comfreywind.scheduling.orders import Order
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.separator import Separator
from comfreywind.scheduling.target_record import TargetRecord

# Judging 200 pairs takes some milliseconds, and takes effect soon enough for harm that lasts.
INTERVAL_S = 2.0


class InterferenceKeeper:
    """Judges all pairs anew every `INTERVAL_S`, publishes levels and moves tasks apart."""

    def __init__(
        self,
        scheduler_state: SchedulerState,
        may_order: Callable[[], bool],
        may_start: Callable[[TargetRecord, float], bool],
        submit: Callable[[list[Order]], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Act while `may_order` holds; `submit` sends orders and triggers a new plan."""
        self._state = scheduler_state
        self._may_order = may_order
        self._submit = submit
        self._clock = clock
        self._metrics = metrics
        self._separator = Separator(scheduler_state, may_start)

    async def run(self) -> None:
        """Review until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            self.review()

    def review(self) -> None:
        """Judge by the present state, and stop at most one task to move it."""
        now_s = self._clock.read_monotonic_s()
        interference = self._state.interference
        harms = interference.review(self._state.targets, now_s)
        self._metrics.set_level('interference.pairs', interference.estimate.count_pairs())
        self._metrics.set_level('interference.harms', len(harms))
        if self._may_order():
            orders = self._separator.separate(harms, now_s)
            if orders:
                self._metrics.count('interference.moves')
                self._submit(orders)
        self._metrics.record_duration('interference.review', self._clock.read_monotonic_s() - now_s)
