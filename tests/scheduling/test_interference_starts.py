"""Starts on targets whose tasks would be slowed down, without sockets."""

import logging
import random
from dataclasses import replace

import pytest

from comfreywind.decisions.scheduling.effect_regression import FORGET_S, LOAD
from comfreywind.decisions.scheduling.harm import FigureKind
from comfreywind.decisions.scheduling.interference import Interference
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.step import Step
from comfreywind.scheduling.orders import StartOrder
from tests.helpers.scheduler_harness import SchedulerHarness, make_job

WEB = Step(
    1,
    Resources(1000, 100),
    long_running=True,
    image='web',
    tail_latency_limit_ms=100,
    target_limit=1,
)
NOISY = Step(1, Resources(1000, 100), estimate_ms=1000, image='noisy')


def teach(
    interference: Interference, partner: str, more: float, now_s: float, duration_s: int = 30
) -> None:
    """Add figures of `web` on three targets, with and without a neighbour, until `now_s`."""
    chance = random.Random(1)
    for second in range(duration_s):
        for target in range(3):
            presence = float(chance.random() < 0.5)
            tail = 0.5 + more * presence + chance.gauss(0, 0.05)
            moment_s = now_s - duration_s + second
            interference.add(
                'web', FigureKind.TAIL, tail, {partner: presence}, f't{target}', moment_s
            )
    interference.review(now_s)


def start_job(harness: SchedulerHarness, step: Step, number: int) -> list[StartOrder]:
    harness.add_job(make_job(step, job_id=f'{number:016x}'))
    return harness.start()


@pytest.mark.parametrize('first', [WEB, NOISY])
def test_kept_apart(first: Step, caplog: pytest.LogCaptureFixture) -> None:
    """Packing puts a task beside one that it is known to slow down, or that slows it down."""
    caplog.set_level(logging.INFO)
    harness = SchedulerHarness(targets=2)
    teach(harness.scheduler_state.interference.estimate, 'noisy', 0.6, harness.now_s)
    assert [order.target_id for order in start_job(harness, first, 1)] == ['t0']
    second = NOISY if first is WEB else WEB
    assert [order.target_id for order in start_job(harness, second, 2)] == ['t1']
    assert 'instead of t0, because image noisy slows image web' in caplog.text


@pytest.mark.parametrize('known', [True, False])
def test_no_ban(known: bool) -> None:
    """Where capacity is short, tasks that harm each other start all the same.

    A new holder, which knows nothing yet, packs them as before.
    """
    harness = SchedulerHarness(targets=1 if known else 2)
    if known:
        teach(harness.scheduler_state.interference.estimate, 'noisy', 0.6, harness.now_s)
    orders = start_job(harness, WEB, 1) + start_job(harness, NOISY, 2)
    assert [order.target_id for order in orders] == ['t0', 't0']


def test_starts_beside_again() -> None:
    """Within one plan, starts see the harm of those before; once it has faded, all are packed."""
    harness = SchedulerHarness(targets=2)
    interference = harness.scheduler_state.interference.estimate
    teach(interference, 'noisy', 0.6, harness.now_s)
    web = replace(WEB, request=Resources(2500, 100))
    harness.add_job(make_job(NOISY, web, NOISY))
    assert [order.target_id for order in harness.start()] == ['t0', 't1', 't0']
    interference.review(harness.now_s + FORGET_S + 1)
    assert [order.target_id for order in start_job(harness, NOISY, 2)] == ['t1']


def test_load_avoided() -> None:
    """An image that the load of others slows down starts where less is reserved."""
    harness = SchedulerHarness(targets=2)
    teach(harness.scheduler_state.interference.estimate, LOAD, 0.8, harness.now_s)
    start_job(harness, replace(NOISY, request=Resources(3000, 100)), 1)
    assert [order.target_id for order in start_job(harness, WEB, 2)] == ['t1']


@pytest.mark.parametrize('seed', range(5))
def test_same_without_evidence(seed: int) -> None:
    """Without evidence of harm, placement is exactly what it is without any figures."""
    plain, taught = SchedulerHarness(targets=6), SchedulerHarness(targets=6)
    interference = taught.scheduler_state.interference.estimate
    teach(interference, 'noisy', 0, taught.now_s)
    assert interference.count_pairs() and not interference.harms
    chance = random.Random(seed)
    for number in range(30):
        step = chance.choice((WEB, NOISY, Step(3, Resources(700, 100), best_effort=True)))
        assert start_job(plain, step, number) == start_job(taught, step, number)


def test_learnt_from_reports() -> None:
    """The tails that targets report lead to harm, and a pace of 0 counts as absence."""
    harness = SchedulerHarness(targets=4)
    web = Step(
        4, WEB.request, long_running=True, image='web', tail_latency_limit_ms=100, target_limit=1
    )
    noisy = Step(2, Resources(500, 100), best_effort=True, image='noisy', target_limit=1)
    harness.add_job(make_job(web, noisy))
    orders = harness.start()
    beside = {order.target_id for order in orders if order.key.step}
    for _ in range(80):
        for target, record in harness.scheduler_state.targets.items():
            active = tuple((run.key, run.run_id) for run in record.runs.values())
            paces = [run.pace_percent for run in record.runs.values() if run.best_effort]
            tail = 55 + 0.8 * sum(paces)
            levels = {run.key: tail for run in record.runs.values() if run.image == 'web'}
            harness.report(target, active, levels=levels)
    state = harness.scheduler_state
    harms = state.interference.review(state.targets, harness.now_s)
    assert len(beside) == 2
    assert [(harm.disturbed, harm.partner) for harm in harms] == [('web', 'noisy')]
    assert harms[0].effect.mean == pytest.approx(0.8, abs=0.2)


def test_learnt_from_run_times() -> None:
    """Short tasks that take longer beside an image are known to be slowed down by it."""
    harness = SchedulerHarness(targets=4)
    heavy = Step(2, Resources(500, 100), long_running=True, image='heavy', target_limit=1)
    beside = {order.target_id: order for order in start_job(harness, heavy, 1)}
    for number in range(2, 14):
        orders = start_job(harness, replace(NOISY, task_count=4, target_limit=1), number)
        started_s = harness.now_s
        for order in sorted(orders, key=lambda each: each.target_id in beside):
            harness.now_s = started_s + (1.7 if order.target_id in beside else 0.9)
            harness.end(order, RunOutcome.DONE)
    state = harness.scheduler_state
    state.interference.review(state.targets, harness.now_s)
    assert state.interference.estimate.list_harms('noisy').keys() == {'heavy'}
