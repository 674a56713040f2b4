"""Knows which steps have tickets for which targets, and what to ask the advice service next."""

import enum
from collections.abc import Iterable

from comfreywind.decisions.scheduling.placement import compute_effective_request
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.step import Step
from comfreywind.scheduling.advice import StepAdvice
from comfreywind.scheduling.advice_request import AdviceRequest
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord

MAX_TARGETS_PER_QUESTION = 30
# The service needs time for each target that a question names. An answer has to come while its tickets
# are still valid, and well before the call times out.
MAX_ANSWER_S = 2.5
MAX_ANSWER_RATIO = 0.4
MS_PER_S = 1000

StepKey = tuple[int, int]


class QuestionRank(enum.IntEnum):
    """Order in which questions are sent."""

    NO_TICKET = 0
    MORE_TICKETS = 1
    REFUSED_BEFORE = 2


class AdviceBook:
    """The tickets of the jobs of a scheduler state, and the questions of the last plan.

    A step asks about every target of its pool that could run it, some at a time, for as long as it
    has tasks that wait. It does no I/O; times in seconds are on the holder's steady clock.
    """

    def __init__(self, scheduler_state: SchedulerState) -> None:
        """Start without questions; the tickets belong to the records of the jobs."""
        self._state = scheduler_state
        self._questions: list[AdviceRequest] = []

    def clear_questions(self) -> None:
        """Drop the questions of the last plan, as a new plan asks its own."""
        self._questions.clear()

    def list_tickets(
        self, record: JobRecord, step_key: StepKey, targets: Iterable[TargetRecord], now_s: float
    ) -> dict[str, str] | None:
        """Return the valid tickets of a step by target id, or None if it needs none."""
        if not record.job.queue.advice_validity_ms:
            return None
        return record.advice.setdefault(step_key, StepAdvice()).list_tickets(targets, now_s)

    def ask(
        self, record: JobRecord, step_key: StepKey, targets: Iterable[TargetRecord], now_s: float
    ) -> None:
        """Record a question about the next targets for a step whose tasks wait, if any are left."""
        if not record.job.queue.advice_validity_ms:
            return
        step = record.job.steps[step_key[1]]
        suitable = [target for target in targets if _is_suitable(target, step)]
        advice = record.advice.setdefault(step_key, StepAdvice())
        unanswered, refused = advice.list_unanswered(suitable, now_s)
        rank = QuestionRank.REFUSED_BEFORE
        if unanswered:
            has_tickets = bool(advice.list_tickets(suitable, now_s))
            rank = QuestionRank.MORE_TICKETS if has_tickets else QuestionRank.NO_TICKET
        named = unanswered or refused
        if not named:
            return
        request = compute_effective_request(step)
        # The sort is stable: among targets with room, those with an expired ticket stay in front.
        named.sort(key=lambda target: not request.fits(target.free))
        incarnations = {
            target.entry.target_id: target.incarnation_start_ms
            for target in named[: _limit_targets(record.job.queue)]
        }
        validity_s = record.job.queue.advice_validity_ms / MS_PER_S
        self._questions.append(
            AdviceRequest(record.job.job_id, *step_key, incarnations, validity_s, rank)
        )

    def select_question(self) -> AdviceRequest | None:
        """Return the question to send next, or None if there is none.

        Among those of a rank, questions that were left without an answer come last, so that they
        hold up no others.
        """
        ranked = [
            (question.rank, advice.failed_s, number)
            for number, question in enumerate(self._questions)
            if (advice := self._find_advice(question)) is not None
        ]
        return self._questions[min(ranked)[-1]] if ranked else None

    def record_answer(
        self, question: AdviceRequest, tickets: dict[str, str], sent_s: float
    ) -> None:
        """Record the tickets that answer a question which was sent at `sent_s`."""
        self._drop(question)
        advice = self._find_advice(question)
        if advice is not None:
            advice.record(question.incarnations, tickets, sent_s, question.validity_s)

    def record_failure(self, question: AdviceRequest, now_s: float) -> None:
        """Record that a question got no usable answer; the next plan asks it again."""
        self._drop(question)
        advice = self._find_advice(question)
        if advice is not None:
            advice.failed_s = now_s

    def _find_advice(self, question: AdviceRequest) -> StepAdvice | None:
        """Return the advice on the step of a question, or None if its job is no longer open."""
        record = self._state.open_jobs.get(question.job_id)
        return None if record is None else record.advice.get((question.occurrence, question.step))

    def _drop(self, question: AdviceRequest) -> None:
        """Drop the question; a plan that was made meanwhile may have asked an equal one."""
        self._questions = [other for other in self._questions if other.step_id != question.step_id]


def _limit_targets(queue: Queue) -> int:
    """Return how many targets a question may name for the service to answer it in time."""
    if not queue.advice_per_target_ms:
        return MAX_TARGETS_PER_QUESTION
    answer_ms = min(MAX_ANSWER_S * MS_PER_S, MAX_ANSWER_RATIO * queue.advice_validity_ms)
    limit = int((answer_ms - queue.advice_decision_ms) / queue.advice_per_target_ms)
    return max(1, min(limit, MAX_TARGETS_PER_QUESTION))


def _is_suitable(target: TargetRecord, step: Step) -> bool:
    """Return whether the target could run a task of the step if nothing else ran there."""
    if step.required_label and step.required_label not in target.entry.labels:
        return False
    return compute_effective_request(step).fits(target.entry.capacity)
