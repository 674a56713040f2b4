"""Questions to the advice service, which approves some targets of a pool for a step."""

from collections.abc import Collection
from dataclasses import replace

import pytest

from comfreywind.jobs.resources import Resources
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.step import Step
from comfreywind.scheduling.advice_request import AdviceRequest
from comfreywind.scheduling.orders import Order
from tests.helpers.scheduler_harness import QUEUE, SchedulerHarness, make_job

VALIDITY_MS = 3000
ADVISED_QUEUE = replace(QUEUE, advice_validity_ms=VALIDITY_MS)
OTHER_JOB_ID = '00000000000000b2'


class AdvisedHarness(SchedulerHarness):
    """A pool whose advice service approves the targets in `approved` for every step."""

    def __init__(self, targets: int, approved: Collection[str]) -> None:
        """Register the targets t0, t1, ...; the service has answered nothing yet."""
        super().__init__(targets=targets)
        self.approved = approved
        self.tickets_count = 0

    def ask(self) -> AdviceRequest | None:
        """Answer the next question, and return it."""
        question = self.planner.advice.select_question()
        if question is not None:
            self.answer_question(question, self.approved)
        return question

    def answer_question(self, question: AdviceRequest, approved: Collection[str]) -> None:
        """Answer a question with new tickets for the approved targets that it names."""
        self.tickets_count += 1
        tickets = {
            target_id: f'{target_id}-{self.tickets_count}'
            for target_id in question.target_ids
            if target_id in approved
        }
        self.planner.advice.record_answer(question, tickets, self.now_s)

    def plan_with_advice(self, questions_limit: int = 20) -> list[Order]:
        """Plan and answer questions in turn until something starts, and return the orders."""
        for _ in range(questions_limit):
            orders = self.plan()
            if orders or self.ask() is None:
                return orders
            self.now_s += 0.1
        return []


def count_targets(numbers: range) -> set[str]:
    """Return the ids of the targets with these numbers."""
    return {f't{number}' for number in numbers}


@pytest.mark.parametrize(
    ('targets', 'approved'),
    [
        (31, range(30, 31)),
        (40, range(37, 40)),
        (61, range(60, 61)),
        (272, range(271, 272)),
        (40, range(40)),
    ],
)
def test_each_target_is_asked_about(targets: int, approved: range) -> None:
    """A step must start wherever it is approved, also beyond the targets of the first question."""
    harness = AdvisedHarness(targets, count_targets(approved))
    harness.add_job(make_job(queue=ADVISED_QUEUE))
    (order,) = harness.plan_with_advice()
    assert order.target_id in harness.approved


def test_approved_targets_are_lost() -> None:
    """A step starts again on targets not asked about before, when those approved first are lost."""
    harness = AdvisedHarness(40, {'t0', 't1', 't39'})
    harness.add_job(make_job(queue=ADVISED_QUEUE))
    (order,) = harness.plan_with_advice()
    assert order.target_id in {'t0', 't1'}
    harness.answer(order, StartAnswer.STARTED)  # type: ignore[arg-type]
    for target_id in ('t0', 't1'):
        record = harness.scheduler_state.targets[target_id]
        record.leaving = True
        harness.scheduler_state.end_incarnation(record)
    (moved,) = harness.plan_with_advice()
    assert moved.target_id == 't39'


def test_full_approved_targets() -> None:
    """Tasks that find no room on the approved targets ask about others."""
    harness = AdvisedHarness(40, {'t0', 't35'})
    harness.add_job(make_job(Step(8, Resources(1000, 100)), queue=ADVISED_QUEUE))
    first = harness.plan_with_advice()
    assert {order.target_id for order in first} == {'t0'}
    harness.ask()
    second = harness.plan_with_advice()
    assert {order.target_id for order in second} == {'t35'}
    assert len(first) + len(second) == 8


def test_approval_that_comes_later() -> None:
    """A target that was not approved is named again when no other is left to ask about."""
    harness = AdvisedHarness(3, ())
    harness.add_job(make_job(queue=ADVISED_QUEUE))
    assert not harness.plan_with_advice()
    harness.approved = {'t2'}
    harness.now_s += 2
    (order,) = harness.plan_with_advice()
    assert order.target_id == 't2'


@pytest.mark.parametrize(
    ('decision_ms', 'per_target_ms', 'validity_ms', 'named'),
    [(60, 2, 3000, 30), (60, 100, 3000, 11), (500, 100, 60_000, 20), (900, 400, 1000, 1)],
)
def test_slow_service(decision_ms: int, per_target_ms: int, validity_ms: int, named: int) -> None:
    """A question names as many targets as the service can judge while its tickets are valid."""
    harness = AdvisedHarness(40, {'t39'})
    queue = replace(
        QUEUE,
        advice_validity_ms=validity_ms,
        advice_decision_ms=decision_ms,
        advice_per_target_ms=per_target_ms,
    )
    harness.add_job(make_job(queue=queue))
    harness.plan()
    question = harness.planner.advice.select_question()
    assert question is not None
    assert len(question.target_ids) == named


def test_expired_tickets_come_first() -> None:
    """Targets whose tickets have expired are named before those not asked about yet."""
    harness = AdvisedHarness(40, {'t5'})
    harness.add_job(make_job(queue=ADVISED_QUEUE))
    harness.plan()
    harness.ask()
    harness.now_s += VALIDITY_MS / 1000
    harness.plan()
    question = harness.planner.advice.select_question()
    assert question is not None
    assert question.target_ids[0] == 't5'


def test_later_answer_keeps_expiry() -> None:
    """An answer about other targets must not prolong the tickets of an earlier answer."""
    harness = AdvisedHarness(31, {'t0'})
    harness.add_job(make_job(Step(5, Resources(1000, 100)), queue=ADVISED_QUEUE))
    starts = harness.plan_with_advice()
    harness.now_s += 2.3
    harness.plan()
    harness.ask()
    harness.end(starts[0], RunOutcome.DONE)  # type: ignore[arg-type]
    harness.now_s += 0.4
    assert not harness.plan()


@pytest.mark.parametrize('validity_ms', [200, 400])
def test_short_validity(validity_ms: int) -> None:
    """A ticket must be usable although it is valid for less than the margin for its order."""
    harness = AdvisedHarness(1, {'t0'})
    harness.add_job(make_job(queue=replace(QUEUE, advice_validity_ms=validity_ms)))
    assert harness.plan_with_advice()


def test_ticket_of_earlier_incarnation() -> None:
    """A restarted target under the same id needs a new ticket."""
    harness = AdvisedHarness(1, {'t0'})
    harness.add_job(make_job(queue=ADVISED_QUEUE))
    harness.plan()
    harness.ask()
    harness.restart('t0')
    assert not harness.plan()
    (order,) = harness.plan_with_advice()
    assert order.ticket == 't0-2'


@pytest.mark.parametrize('late', [False, True])
def test_refused_ticket(late: bool) -> None:
    """A ticket that its target refuses is not sent again, but a newer one is kept."""
    harness = AdvisedHarness(1, {'t0'})
    harness.add_job(make_job(queue=ADVISED_QUEUE))
    (order,) = harness.plan_with_advice()
    if late:
        advice = next(iter(harness.scheduler_state.open_jobs.values())).advice[0, 0]
        advice.record({'t0': 1}, {'t0': 'newer'}, harness.now_s, VALIDITY_MS / 1000)
    harness.answer(order, StartAnswer.NO_TICKET)  # type: ignore[arg-type]
    orders = harness.plan()
    assert [order.ticket for order in orders] == (['newer'] if late else [])


def test_failed_question_comes_last() -> None:
    """A question that gets no answer must not hold up those of other steps."""
    harness = AdvisedHarness(1, {'t0'})
    harness.add_job(make_job(queue=ADVISED_QUEUE))
    harness.add_job(make_job(queue=ADVISED_QUEUE, job_id=OTHER_JOB_ID))
    asked = []
    for _ in range(4):
        harness.plan()
        question = harness.planner.advice.select_question()
        assert question is not None
        harness.planner.advice.record_failure(question, harness.now_s)
        harness.now_s += 0.3
        asked.append(question.job_id)
    assert asked[0] != asked[1]
    assert asked[:2] == asked[2:]


def test_unsuitable_targets_are_not_named() -> None:
    """Targets without the label or the capacity that a task needs are left out of questions."""
    harness = AdvisedHarness(1, {'big'})
    harness.add_target('big', 8000, frozenset({'fast'}))
    harness.add_target('small', 4000, frozenset({'fast'}))
    step = Step(1, Resources(6000, 100), required_label='fast')
    harness.add_job(make_job(step, queue=ADVISED_QUEUE))
    harness.plan()
    question = harness.planner.advice.select_question()
    assert question is not None
    assert question.target_ids == ('big',)


def test_ended_job_asks_nothing() -> None:
    """A question of a job that was cancelled meanwhile is not sent, and its answer is ignored."""
    harness = AdvisedHarness(1, {'t0'})
    job = harness.add_job(make_job(queue=ADVISED_QUEUE))
    harness.plan()
    question = harness.planner.advice.select_question()
    assert question is not None
    harness.scheduler_state.cancel_job(job.job_id)
    assert harness.planner.advice.select_question() is None
    harness.answer_question(question, harness.approved)
    assert not harness.plan()
