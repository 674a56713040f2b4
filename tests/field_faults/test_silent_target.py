"""A machine that was only silent or slow to report had its running work started elsewhere, or given up.

Silence alone can't do it here: runs are only started elsewhere when their lease has certainly lapsed.
Nor does a machine that takes up to 1.7 s for each answer: it loses nothing over 30 s. One that takes
longer than that for all answers counts as silent, and its runs lapse after five seconds.
"""

from typing import Any

import pytest
import trio

from comfreywind.errors import TargetSilentError
from comfreywind.jobs.run_report import ActiveRun, TargetReport
from comfreywind.platform.target_client import HOLD_MARGIN_S
from comfreywind.scheduling.target_link import MAX_HOLD_WAIT_S
from tests.helpers.scheduler_harness import SchedulerHarness
from tests.scheduling.test_target_link import make_link

WATCH_S = 30
MS_PER_S = 1000


class SlowTarget:
    """Keeps one run under a lease, and answers late or, in `silent_s`, not at all."""

    def __init__(
        self, rig: SchedulerHarness, delay_s: float, silent_s: tuple[float, float]
    ) -> None:
        """Run what the board has on t0, with a lease that was just extended."""
        (self.order,) = rig.start()
        self._delay_s = delay_s
        self._silent_s = silent_s
        self._started_s = trio.current_time()
        self.lease_end_s = self._started_s + 5
        self.lapsed = False

    async def hold(
        self, fence: int, last_seen: int, expires_ms: int | None, wait_ms: int
    ) -> TargetReport:
        """Extend the lease and list the run; raise TargetSilentError as the client does."""
        self._note_lapse()
        begin_s, end_s = self._silent_s
        if begin_s <= trio.current_time() - self._started_s < end_s:
            await self._give_up_after(MAX_HOLD_WAIT_S + HOLD_MARGIN_S)
        answer_s = wait_ms / MS_PER_S + self._delay_s
        if expires_ms is not None and not self.lapsed:
            self.lease_end_s = max(self.lease_end_s, expires_ms / MS_PER_S)
        if answer_s > MAX_HOLD_WAIT_S + HOLD_MARGIN_S:
            await self._give_up_after(MAX_HOLD_WAIT_S + HOLD_MARGIN_S)
        await trio.sleep(answer_s)
        self._note_lapse()
        active = ActiveRun(self.order.key, self.order.run_id, '', 50, 0)
        clock_ms = int(trio.current_time() * MS_PER_S)
        return TargetReport(clock_ms, 1, () if self.lapsed else (active,), ())

    async def close(self) -> None:
        """Close nothing."""

    async def _give_up_after(self, timeout_s: float) -> None:
        await trio.sleep(timeout_s)
        raise TargetSilentError('no answer')

    def _note_lapse(self) -> None:
        self.lapsed = self.lapsed or trio.current_time() > self.lease_end_s


@pytest.mark.parametrize(
    ('delay_s', 'silent_s'),
    [
        (0.01, (5, 8)),
        (0.01, (5, 6)),
        (0.3, (0, 0)),
        (0.9, (0, 0)),
        (1.3, (0, 0)),
        (1.7, (0, 0)),
    ],
)
async def test_run_stays(
    autojump_clock: trio.testing.MockClock, delay_s: float, silent_s: tuple[float, float]
) -> None:
    """Guards against work that is done twice, or lost, because its target answers late."""
    rig = SchedulerHarness(targets=1)
    rig.add_job()
    target: Any = SlowTarget(rig, delay_s, silent_s)
    with trio.move_on_after(WATCH_S):
        await make_link(rig, target).run()
    assert not target.lapsed
    run = rig.scheduler_state.targets['t0'].runs.get(target.order.key)
    assert run is not None
    assert run.run_id == target.order.run_id
    assert not rig.plan()


async def test_restart_only_after_lapse(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a second run beside the first on a target that has fallen silent for good."""
    rig = SchedulerHarness(targets=1)
    rig.add_job()
    target: Any = SlowTarget(rig, 0.01, (5, 1_000))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_link(rig, target).run)
        with trio.fail_after(WATCH_S):
            while rig.scheduler_state.targets['t0'].runs:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert trio.current_time() > target.lease_end_s
