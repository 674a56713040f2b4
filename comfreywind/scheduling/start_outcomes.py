"""Records what replies, reports and dropped runs tell of starts that may still be carried out."""

import logging

from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.start_reply import StartReply
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.open_starts import OpenStarts
from comfreywind.scheduling.orders import StartOrder
from comfreywind.scheduling.run_record import RunRecord
from comfreywind.scheduling.target_record import TargetRecord

ANSWERS_WITHOUT_REPLY = frozenset((StartAnswer.UNKNOWN, StartAnswer.DISCONNECTED))

log = logging.getLogger('comfreywind.board')


class StartOutcomes:
    """Opens and closes starts by what a target has told, and whether it was settled then.

    What a target in doubt tells closes no start: a late order may extend the lease of the run.
    """

    def __init__(self, open_starts: OpenStarts, jobs: dict[str, JobRecord]) -> None:
        """Record starts of `jobs` in `open_starts`."""
        self._open_starts = open_starts
        self._jobs = jobs

    def record_reply(
        self,
        record: TargetRecord | None,
        run: RunRecord | None,
        order: StartOrder,
        reply: StartReply,
        now_s: float,
    ) -> None:
        """Record the answer to a start order, whose run is None if it was dropped meanwhile."""
        if reply.answer in ANSWERS_WITHOUT_REPLY:
            self._record_no_reply(run, order, now_s)
        elif record is not None and reply.answer is StartAnswer.STARTED:
            self._record_start(record, run, order, reply, now_s)
        else:
            self._open_starts.close(order.key, order.run_id)

    def record_active(
        self, record: TargetRecord, run_id: int, run: RunRecord, now_s: float
    ) -> None:
        """Record that a target has listed a run of the task of `run`, its own or another one."""
        if record.doubt.settled:
            self._open_starts.close(run.key, run_id)
        elif self._open_starts.find_target(run.key, now_s) in {None, run.target_id}:
            # The next holder has to know of it as well.
            self._bind(run.target_id, run.key, run_id, now_s)
        if run.run_id == run_id:
            run.confirmed_ms = max(record.incarnation_start_ms, 1)

    def record_dropped(self, record: TargetRecord, run: RunRecord) -> None:
        """Record that a run is taken for ended.

        If it may exist again or still, because of an order that is carried out late, its task may be
        started on the same target only.
        """
        doubt = record.doubt
        if run.may_be_unanswered or doubt.may_extend(run.confirmed_ms):
            self._bind(run.target_id, run.key, run.run_id, max(run.started_s, doubt.ordered_s))
        elif run.confirmed_ms:
            self._open_starts.close(run.key, run.run_id)

    def _record_no_reply(self, run: RunRecord | None, order: StartOrder, now_s: float) -> None:
        """Record that the target may carry out a start order later."""
        if run is None:
            self._open_starts.extend(order.key, order.run_id, now_s)
        else:
            self._bind(run.target_id, run.key, run.run_id, now_s)

    def _record_start(
        self,
        record: TargetRecord,
        run: RunRecord | None,
        order: StartOrder,
        reply: StartReply,
        now_s: float,
    ) -> None:
        """Record which incarnation has carried out a start order.

        The order stays open unless a settled incarnation has: another one counts the lease from a
        clock that the order doesn't know.
        """
        if run is not None:
            run.confirmed_ms = max(reply.incarnation_start_ms or record.incarnation_start_ms, 1)
        if 0 < reply.incarnation_start_ms < record.incarnation_start_ms:
            # The run has ended with its incarnation.
            self._open_starts.close(order.key, order.run_id)
            return
        is_present = record.is_from_present(reply, now_s)
        if run is None or not (is_present and record.doubt.settled):
            self._record_no_reply(run, order, now_s)
        else:
            self._open_starts.close(order.key, order.run_id)
        if record.doubt.settled and reply.tells_incarnation and not is_present:
            log.info(
                'target %s: it may have restarted, as its reply to a start tells another clock',
                record.entry.target_id,
            )
            record.raise_fence()

    def _bind(self, target_id: str, key: TaskKey, run_id: int, sent_s: float) -> None:
        """Bind a task to a target until orders that were sent until `sent_s` have no effect."""
        if key.job_id in self._jobs:
            self._open_starts.add(key, target_id, run_id, sent_s)
