"""The work of a target that is only silent or slow is started elsewhere, or given up.

A run is started elsewhere only when its lease has certainly lapsed. A target that takes up to 1.7 s
for each reply keeps its runs over 30 s. One that takes longer for all replies counts as silent, and
its runs lapse after five seconds.
"""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import pytest
import trio

from bench.ports import PORTS
from comfreywind.errors import TargetSilentError
from comfreywind.jobs.run_report import ActiveRun, TargetReport
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.task_key import TaskKey
from comfreywind.platform.target_client import HOLD_MARGIN_S, TargetClient
from comfreywind.scheduling.target_link import MAX_HOLD_WAIT_S
from comfreywind.settings.address import Address
from tests.helpers.scheduler_harness import SchedulerHarness
from tests.scheduling.test_target_link import make_link

WATCH_S = 30
MS_PER_S = 1000


class SlowTarget:
    """A target with one run under a lease, whose replies are late or missing.

    Each reply is delayed by `delay_s`. In the period `silent_s`, in seconds after the start from
    its first to its second value, there are no replies.
    """

    def __init__(
        self, rig: SchedulerHarness, delay_s: float, silent_s: tuple[float, float]
    ) -> None:
        """Start the run that the scheduler orders, with a lease of 5 s."""
        (self.order,) = rig.start()
        self._delay_s = delay_s
        self._silent_s = silent_s
        self._started_s = trio.current_time()
        self.lease_end_s = self._started_s + 5
        self.lapsed = False

    async def hold(
        self, fence: int, last_seen: int, expires_ms: int | None, wait_ms: int
    ) -> TargetReport:
        """Extend the lease and report the run; raise TargetSilentError as the client does."""
        self._update_lapsed()
        begin_s, end_s = self._silent_s
        if begin_s <= trio.current_time() - self._started_s < end_s:
            await self._time_out_after(MAX_HOLD_WAIT_S + HOLD_MARGIN_S)
        reply_s = wait_ms / MS_PER_S + self._delay_s
        if expires_ms is not None and not self.lapsed:
            self.lease_end_s = max(self.lease_end_s, expires_ms / MS_PER_S)
        if reply_s > MAX_HOLD_WAIT_S + HOLD_MARGIN_S:
            await self._time_out_after(MAX_HOLD_WAIT_S + HOLD_MARGIN_S)
        await trio.sleep(reply_s)
        self._update_lapsed()
        active = ActiveRun(self.order.key, self.order.run_id, '', 50, 0)
        clock_ms = int(trio.current_time() * MS_PER_S)
        return TargetReport(clock_ms, 1, () if self.lapsed else (active,), ())

    async def close(self) -> None:
        """Do nothing: there are no connections."""

    async def _time_out_after(self, timeout_s: float) -> None:
        await trio.sleep(timeout_s)
        raise TargetSilentError('no reply')

    def _update_lapsed(self) -> None:
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
    """Keeps a run on its target while replies are late or missing for less than its lease.

    If the lease were not extended in time, the target would end the run; if the run were given up
    too early, it would be started a second time elsewhere.
    """
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
    """Gives up the run of a target that stays silent only after its lease has ended.

    Before that the target may still execute it, and a second run would execute the task twice.
    """
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


async def close_at_once(stream: trio.SocketStream) -> None:
    """Close a connection once a request has come, without a reply."""
    await stream.receive_some()
    await stream.aclose()


async def never_reply(stream: trio.SocketStream) -> None:
    """Keep a connection open without a reply."""
    await trio.sleep_forever()


# Guards against a task that waits for 5 s, until the lease of a run has lapsed, although its order
# was never sent, and against a job that is given up for the crash of a target that its task never
# reached (dewpa-sched with deadly tasks and a rack that crashes, LOST).
@pytest.mark.parametrize(
    ('serve', 'answer'),
    [
        (close_at_once, StartAnswer.DISCONNECTED),
        (never_reply, StartAnswer.UNKNOWN),
        (None, StartAnswer.UNREACHABLE),
    ],
)
async def test_start_without_reply(
    serve: Callable[[trio.SocketStream], Awaitable[None]] | None, answer: StartAnswer
) -> None:
    """Tells an order that was not sent from one to which the reply is missing."""
    async with trio.open_nursery() as nursery:
        address = Address('127.0.0.1', PORTS.find_free())
        if serve is not None:
            await nursery.start(partial(trio.serve_tcp, host=address.host), serve, address.port)
        client = TargetClient('t0', address, 1, lambda fence: True)
        key = TaskKey('00000000000000a1', 0, 0, 0)
        assert (await client.start(key, 1, '', 1, 1)).answer is answer
        nursery.cancel_scope.cancel()
