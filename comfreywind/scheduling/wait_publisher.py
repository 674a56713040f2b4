"""Publishes the waits of the queues in the row of the term."""

from collections.abc import Callable, Mapping

import trio

from comfreywind.clock import Clock
from comfreywind.metrics import Metrics
from comfreywind.scheduling.excess_marks import mark_excess
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.term_keeper import HeldTerm, TermKeeper
from comfreywind.scheduling.wait_estimator import WaitEstimator

# Nodes read the row twice a second, and don't use figures that are older than 2 s.
INTERVAL_S = 0.5
MS_PER_S = 1000


class WaitPublisher:
    """The task of the holder that tells all nodes which teams wait for long."""

    def __init__(
        self,
        term: HeldTerm,
        state: SchedulerState,
        keeper: TermKeeper,
        count_arriving: Callable[[], Mapping[str, int]],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Publish for a term; `count_arriving` returns the VMs on their way by pool."""
        self._term = term
        self._state = state
        self._keeper = keeper
        self._count_arriving = count_arriving
        self._clock = clock
        self._metrics = metrics
        self._estimator = WaitEstimator(state)
        self._known_queues: set[str] = set()

    async def run(self) -> None:
        """Publish every `INTERVAL_S` until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            self.publish()

    def publish(self) -> None:
        """Estimate the waits, have them written with the term, and mark jobs for the planner."""
        taken_s = self._clock.read_monotonic_s()
        now_ms = self._clock.read_utc().timestamp() * MS_PER_S
        waits = self._estimator.estimate(self._count_arriving(), now_ms)
        mark_excess(self._state, waits)
        self._keeper.publish_waits(self._term, waits, self._state.rules, taken_s)
        # A queue gets a metric with its first wait, as there may be thousands that never have one.
        self._known_queues.update(waits)
        for queue in self._known_queues:
            total_s = waits[queue].total_s if queue in waits else 0
            self._metrics.set_level(f'scarce_queue_wait_s.{queue}', total_s)
        self._metrics.record_duration('waits', self._clock.read_monotonic_s() - taken_s)
