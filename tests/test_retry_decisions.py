"""Tests of the decisions about retries, the retry budget and ejection."""

import pytest

from comfreywind.clock import Clock
from comfreywind.decisions.attempt import Attempt, AttemptEnd, counts_as_failure, get_outcome
from comfreywind.decisions.refusal import Outcome
from comfreywind.decisions.retry import RetryContext, RetryDecision, decide_retry
from comfreywind.decisions.retry_budget import (
    RetryBudget,
    allows_retry,
    record_request,
    record_retry,
)
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.target_health import TargetHealth
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.settings.address import Address
from tests.helpers.manual_clock import ManualClock

END = AttemptEnd
FINISH = RetryDecision.FINISH
OTHER = RetryDecision.RETRY_OTHER_TARGET
SAME = RetryDecision.RETRY_SAME_TARGET
AGAIN = RetryDecision.QUEUE_AGAIN
BROKEN = Attempt(END.BROKEN, byte_received=False)
STALE = Attempt(END.BROKEN, byte_received=False, reused=True)
UNREACHABLE = Attempt(END.UNREACHABLE, byte_sent=False)
REFUSED = Attempt(END.REFUSED)
ERROR = Attempt(END.ERROR_ANSWERED)
WAITED = Attempt(END.TIMED_OUT, byte_sent=False, byte_received=False)


@pytest.mark.parametrize(
    ('attempt', 'outcome'),
    [
        (Attempt(END.ANSWERED), Outcome.ANSWERED),
        (ERROR, Outcome.ANSWERED),
        (REFUSED, Outcome.NOT_RUN),
        (UNREACHABLE, Outcome.NOT_RUN),
        (WAITED, Outcome.NOT_RUN),
        (Attempt(END.TIMED_OUT), Outcome.UNKNOWN),
        (BROKEN, Outcome.UNKNOWN),
        (Attempt(END.BROKEN, byte_sent=False), Outcome.NOT_RUN),
    ],
)
def test_outcome(attempt: Attempt, outcome: Outcome) -> None:
    """Not-run must not be reported once a byte may have reached the target, unless it refused."""
    assert get_outcome(attempt) is outcome


@pytest.mark.parametrize(
    ('attempt', 'changes', 'expected'),
    [
        (Attempt(END.ANSWERED), {}, FINISH),
        (BROKEN, {}, OTHER),
        (ERROR, {}, OTHER),
        (BROKEN, {'idempotent': False}, FINISH),
        (ERROR, {'idempotent': False}, FINISH),
        (UNREACHABLE, {'idempotent': False}, OTHER),
        (REFUSED, {'idempotent': False, 'budget_left': False, 'failures': 3}, AGAIN),
        (REFUSED, {'time_left_s': 0}, FINISH),
        (BROKEN, {'failures': 3}, FINISH),
        (BROKEN, {'budget_left': False}, FINISH),
        (BROKEN, {'time_left_s': 0}, FINISH),
        (BROKEN, {'other_target_exists': False}, FINISH),
        (STALE, {'other_target_exists': False}, SAME),
        (STALE, {'idempotent': False}, FINISH),
    ],
)
def test_retry(attempt: Attempt, changes: dict[str, bool], expected: RetryDecision) -> None:
    """A POST must not run twice, retries must be limited, and none given up without need."""
    context = {
        'idempotent': True,
        'failures': 1,
        'time_left_s': 5,
        'other_target_exists': True,
        'budget_left': True,
        **changes,
    }
    assert decide_retry(attempt, RetryContext(**context)) is expected  # type: ignore[arg-type]


@pytest.mark.parametrize(('requests', 'allowed'), [(0, 10), (100, 10), (1000, 100)])
def test_retry_budget(requests: int, allowed: int) -> None:
    """Without a limit, retries would multiply the load of a failing pool."""
    budget = RetryBudget()
    for index in range(requests):
        budget = record_request(budget, 100 + index * 9 / requests)
    retries = 0
    while allows_retry(budget, 109.5):
        budget = record_retry(budget, 109.5)
        retries += 1
    assert retries == allowed
    assert allows_retry(budget, 120)
    assert len(budget.seconds) <= 11


@pytest.mark.parametrize(
    ('attempt', 'failure'),
    [
        (BROKEN, True),
        (UNREACHABLE, True),
        (ERROR, True),
        (REFUSED, False),
        (Attempt(END.ANSWERED), False),
        (Attempt(END.TIMED_OUT, byte_received=False, elapsed_s=0.1), False),
        (Attempt(END.TIMED_OUT, byte_received=False, elapsed_s=10), True),
        (Attempt(END.TIMED_OUT, byte_received=False, elapsed_s=10, silent=True), False),
    ],
)
def test_what_counts_as_failure(attempt: Attempt, failure: bool) -> None:
    """A target must not be ejected because it is busy or because callers set short deadlines."""
    assert counts_as_failure(attempt) is failure


def make_health(vm_count: int, clock: Clock) -> tuple[TargetHealth, list[VmEntry]]:
    """Return the health of the targets of a pool with `vm_count` VMs, and the VMs."""
    address = Address('127.0.0.1', 1)
    vms = [
        VmEntry(f'vm-{index}', address, 'dc-1', 'rack', 'pool', 'live', 1)
        for index in range(vm_count)
    ]
    view = FleetView()
    view.apply_vm_list(vms)
    return TargetHealth(view, clock), vms


@pytest.mark.parametrize(('vm_count', 'ejected'), [(1, 0), (3, 0), (4, 1), (10, 3), (20, 6)])
def test_ejection_is_capped(vm_count: int, ejected: int) -> None:
    """Failures that all targets share must not eject the whole pool."""
    health, vms = make_health(vm_count, ManualClock())
    for vm in vms * 6:
        health.report(vm, 'pool', failed=True)
    assert len(health.list_ejected(idempotent=True)) == ejected
    assert health.count_failure_load(vms[0]) == 6


def test_failure_ratio() -> None:
    """A target that fails most requests, but never five in a row, must be ejected too."""
    health, vms = make_health(4, ManualClock())
    for failed in (True, True, False) * 4:
        health.report(vms[0], 'pool', failed)
    assert health.list_ejected(idempotent=True) == {'vm-0'}


def test_probe_and_growing_time() -> None:
    """On probation a target gets one request at a time, and it is tried again after each ejection.

    Each failed probe doubles the ejection time. A success ends the probation.
    """
    clock = ManualClock()
    health, vms = make_health(4, clock)
    for _ in range(5):
        health.report(vms[0], 'pool', failed=True)
    for ejection_s in (5, 10, 20):
        clock.advance(ejection_s - 0.1)
        assert health.list_ejected(idempotent=True) == {'vm-0'}
        clock.advance(0.2)
        assert not health.list_ejected(idempotent=True)
        assert health.list_ejected(idempotent=False) == {'vm-0'}
        health.start(vms[0])
        assert health.list_ejected(idempotent=True) == {'vm-0'}
        health.finish(vms[0])
        health.report(vms[0], 'pool', failed=True)
    clock.advance(45.1)
    assert not health.list_ejected(idempotent=False)
    health.report(vms[0], 'pool', failed=False)
    health.report(vms[0], 'pool', failed=True)
    assert not health.list_ejected(idempotent=False)
