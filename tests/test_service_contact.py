"""Outages of a service: what ends them, which calls are abandoned, and how it is probed."""

from functools import partial

import pytest
import trio

from comfreywind.errors import CallAbandonedError, PlatformError
from comfreywind.http.service_contact import ServiceContact
from comfreywind.http.service_probe import JITTER_RATIO, PROBE_INTERVAL_S, ServiceProbe
from tests.helpers.trio_clock import TrioClock

CALL_TIMEOUT_S = 1.5


def make_contact() -> ServiceContact:
    """Return the contact with a service that has not been called yet."""
    return ServiceContact('service', TrioClock())


async def follow_until_abandoned(contact: ServiceContact, ended: list[float]) -> None:
    """Follow a call that is never answered, and note when it was abandoned."""
    with pytest.raises(CallAbandonedError):
        await contact.follow(trio.sleep_forever)
    ended.append(trio.current_time())


@pytest.mark.parametrize(
    ('silent', 'sent_after_s', 'abandoned_count'),
    [(True, 0.1, 1), (True, -0.1, 0), (False, 0.1, 0)],
    ids=['sent before', 'sent after', 'calls fail at once'],
)
async def test_calls_at_end_of_outage(
    autojump_clock: trio.testing.MockClock, silent: bool, sent_after_s: float, abandoned_count: int
) -> None:
    """Abandons calls to a silent service that were sent before the one that it answers."""
    contact = make_contact()
    ended: list[float] = []
    async with trio.open_nursery() as nursery:
        contact.record_failure(trio.current_time(), 'no reply', silent)
        nursery.start_soon(follow_until_abandoned, contact, ended)
        await trio.sleep(1)
        assert not ended
        contact.record_answer(trio.current_time() - 1 + sent_after_s)
        assert contact.reachable
        await trio.testing.wait_all_tasks_blocked()
        assert len(ended) == abandoned_count
        nursery.cancel_scope.cancel()


# Guards against a large answer that is given up and begun anew because a small call beside it was
# answered first after an outage.
async def test_arriving_answer_is_not_abandoned(autojump_clock: trio.testing.MockClock) -> None:
    """Lets a call go on whose answer is arriving at the end of an outage."""
    contact = make_contact()
    answers: list[str] = []

    async def receive() -> str:
        await trio.sleep(2)
        return 'whole'

    async def follow() -> None:
        answers.append(await contact.follow(receive, lambda: True))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(follow)
        await trio.sleep(1)
        contact.record_failure(trio.current_time(), 'no reply', silent=True)
        contact.record_answer(trio.current_time())
    assert answers == ['whole']


async def test_late_failure_starts_no_outage(autojump_clock: trio.testing.MockClock) -> None:
    """Ignores the failure of a call that was sent before one that the service has answered."""
    contact = make_contact()
    await trio.sleep(2)
    contact.record_answer(1.0)
    contact.record_failure(0.5, 'no reply', silent=True)
    assert contact.reachable
    contact.record_failure(1.5, 'no reply', silent=True)
    assert not contact.reachable


# Guards against an outage whose end is noticed only at the timeout of a call that was sent before.
@pytest.mark.parametrize('outage_s', [0.1, 3.0, 7.3])
async def test_silent_service_is_probed(
    autojump_clock: trio.testing.MockClock, outage_s: float
) -> None:
    """Notices the return of a silent service within an interval, and then sends no more probes."""
    contact = make_contact()
    returns_s = trio.current_time() + outage_s
    sent_s: list[float] = []

    async def call() -> None:
        sent_s.append(trio.current_time())
        if trio.current_time() < returns_s:
            await trio.sleep(CALL_TIMEOUT_S)
            contact.record_failure(sent_s[-1], 'no reply', silent=True)
            raise PlatformError('no reply')
        contact.record_answer(trio.current_time())

    probe = ServiceProbe(contact, call)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(probe.run)
        contact.record_failure(trio.current_time(), 'no reply', silent=True)
        with trio.fail_after(outage_s + PROBE_INTERVAL_S * (1 + JITTER_RATIO) + 0.01):
            await contact.wait_for_return()
        count = len(sent_s)
        assert count <= outage_s / (PROBE_INTERVAL_S * (1 - JITTER_RATIO)) + 2
        await trio.sleep(5)
        assert len(sent_s) == count
        nursery.cancel_scope.cancel()


async def test_waits(autojump_clock: trio.testing.MockClock) -> None:
    """Wakes waiting tasks at the loss and at the return, and at once when that is past."""
    contact = make_contact()
    seen: list[str] = []

    async def watch() -> None:
        await contact.wait_for_loss()
        seen.append('lost')
        await contact.wait_for_return()
        seen.append('returned')

    await contact.wait_for_return()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await trio.sleep(1)
        for step in (
            partial(contact.record_failure, 1, 'status 503'),
            partial(contact.record_answer, 2),
        ):
            step()
            await trio.testing.wait_all_tasks_blocked()
    assert seen == ['lost', 'returned']
    assert contact.returned_s == pytest.approx(1)
