"""What the holder's metrics tell of the waits of queues."""

from collections.abc import Mapping
from typing import Any

import pytest

from comfreywind.exposed_metrics import ExposedMetrics
from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.resources import Resources
from comfreywind.scheduling.queue_wait import QueueWait
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.wait_publisher import WaitPublisher
from tests.helpers.scheduler_harness import POOL
from tests.helpers.trio_clock import TrioClock

QUEUES = 4000
METRIC = 'comfreywind_scarce_queue_wait_s_'


class TermWithoutRow:
    """A keeper of the term that writes nothing."""

    def publish_waits(self, *arguments: object) -> None:
        """Do nothing."""


# Guards against a reply with the metrics that grows with the rules and fills the holder's link at
# each fetch: 765 KB with 4,251 queues.
async def test_metrics_of_many_queues(monkeypatch: pytest.MonkeyPatch) -> None:
    """Has a level for a queue from its first wait on, and shows the end of the wait."""
    names = [f'q-{number}' for number in range(QUEUES)]
    state = SchedulerState(1)
    state.rules = JobRules(1, {name: Queue(name, 'host', f'/{name}/', POOL) for name in names})
    metrics, keeper, term = ExposedMetrics(), TermWithoutRow(), None
    parts: Any = (term, state, keeper)
    publisher = WaitPublisher(*parts, dict, TrioClock(), metrics)
    waits: Mapping[str, QueueWait] = {'q-7': QueueWait(2.5, Resources())}
    for expected, present in (('2.5', waits), ('0.0', {})):
        monkeypatch.setattr(publisher, '_estimator', _FixedEstimator(present))
        publisher.publish()
        levels = [
            line for line in metrics.render().decode().splitlines() if line.startswith(METRIC)
        ]
        assert levels == [f'{METRIC}q_7 {expected}']


class _FixedEstimator:
    def __init__(self, waits: Mapping[str, QueueWait]) -> None:
        self._waits = waits

    def estimate(self, *arguments: object) -> Mapping[str, QueueWait]:
        """Return the waits."""
        return self._waits
