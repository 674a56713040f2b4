"""A scheduler state with targets and jobs in memory, for tests of scheduling without sockets."""

from dataclasses import replace

from comfreywind.jobs.job import Job
from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.resources import NO_RESOURCES, Resources
from comfreywind.jobs.run_report import ActiveRun, EndedRun, RunOutcome, TargetReport
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.start_reply import StartReply
from comfreywind.jobs.step import Step
from comfreywind.jobs.target_entry import TargetEntry
from comfreywind.jobs.task_key import TaskKey
from comfreywind.jobs.team import Team
from comfreywind.scheduling.orders import Order, StartOrder, StopOrder
from comfreywind.scheduling.planner import Planner
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.settings.address import Address

POOL = 'north'
TEAM = 'crews'
JOB_ID = '00000000000000a1'
QUEUE = Queue('rebuild', 'jobs.example', '/rebuild/', POOL, attempt_limit=3, stretch_factor=1.6)
STEP = Step(1, Resources(1000, 100), estimate_ms=1000)


def make_job(*steps: Step, job_id: str = JOB_ID, accepted_ms: int = 0, **fields: object) -> Job:
    """Return a job of `QUEUE` with the given steps, or with `STEP` alone."""
    job = Job(job_id, TEAM, QUEUE, 'spec', steps or (STEP,), accepted_ms)
    return replace(job, **fields)  # type: ignore[arg-type]


class SchedulerHarness:
    """A scheduler state of one pool; reports advance `now_s` by 0.1 s, tests may change it."""

    def __init__(self, targets: int = 2, cpu: int = 4000, epoch: int = 1) -> None:
        """Register the targets t0, t1, ..., which have reported that nothing runs on them.

        Nothing starts in the data centres of `evacuated`.
        """
        self.evacuated: set[str] = set()
        self.scheduler_state = SchedulerState(epoch)
        self.scheduler_state.unknown_usage = NO_RESOURCES
        self.planner = Planner(self.scheduler_state, may_start=self.may_start)
        self.scheduler_state.rules = JobRules(
            1, queues={QUEUE.name: QUEUE}, teams={TEAM: Team(TEAM)}
        )
        self.now_s = 100.0
        self.ends: dict[str, int] = {}
        for number in range(targets):
            self.add_target(f't{number}', cpu)

    def add_target(self, name: str, cpu: int = 4000, labels: frozenset[str] = frozenset()) -> None:
        """Register a target and let it report that nothing runs on it."""
        address = Address('127.0.0.1', 1)
        entry = TargetEntry(name, POOL, address, 'dc', False, Resources(cpu, 10_000), labels, 1)
        self.scheduler_state.register_target(entry).in_registry = True
        self.report(name)

    def may_start(self, target: TargetRecord, now_s: float) -> bool:
        """Return whether runs may be started on a target."""
        return target.entry.data_centre not in self.evacuated and target.may_start(now_s)

    def place_target(self, target: str, data_centre: str) -> None:
        """Let a target register in a data centre."""
        entry = self.scheduler_state.targets[target].entry
        self.scheduler_state.register_target(replace(entry, data_centre=data_centre))

    def add_job(self, job: Job | None = None, reconciled: bool = True) -> Job:
        """Add an accepted job without progress, and return it."""
        accepted = job or make_job()
        self.scheduler_state.add_job(accepted, Progress(), 1, reconciled)
        return accepted

    def plan(self) -> list[Order]:
        """Return the start orders of a new plan."""
        return self.planner.plan(self.now_s, self.now_s * 1000)

    def start(self) -> list[StartOrder]:
        """Plan and let every target confirm its starts."""
        orders = [order for order in self.plan() if isinstance(order, StartOrder)]
        for order in orders:
            self.answer(order, StartAnswer.STARTED)
        return orders

    def answer(self, order: StartOrder, answer: StartAnswer) -> list[Order]:
        """Apply the answer of the known incarnation of a target to a start order."""
        incarnation_start_ms = self.scheduler_state.targets[order.target_id].incarnation_start_ms
        reply = StartReply(answer, incarnation_start_ms=incarnation_start_ms)
        return self.scheduler_state.apply_start_answer(order, reply, self.now_s)

    def report(
        self,
        target: str,
        active: tuple[tuple[TaskKey, int], ...] = (),
        ended: tuple[tuple[TaskKey, int, RunOutcome], ...] = (),
        incarnation_start_ms: int | None = None,
        levels: dict[TaskKey, float] | None = None,
        percents: dict[TaskKey, int] | None = None,
        fence: int | None = None,
    ) -> list[Order]:
        """Apply a target's report of active and ended runs, which was requested just now.

        It is one of the present incarnation and was requested with the present fence, unless others
        are given.
        """
        self.now_s += 0.1
        rows = []
        for key, run_id, outcome in ended:
            self.ends[target] = self.ends.get(target, 0) + 1
            rows.append(EndedRun(self.ends[target], key, run_id, outcome, ''))
        level_of, percent_of = levels or {}, percents or {}
        runs = tuple(
            ActiveRun(key, run_id, '', percent_of.get(key, 100), level_of.get(key, 0))
            for key, run_id in active
        )
        record = self.scheduler_state.targets[target]
        reporting_ms = incarnation_start_ms or record.incarnation_start_ms
        report = TargetReport(0, reporting_ms, runs, tuple(rows))
        return self.scheduler_state.apply_report(
            record, report, record.doubt.fence if fence is None else fence, self.now_s, self.now_s
        )

    def register(self, target: str, incarnation_start_ms: int) -> None:
        """Let an incarnation of a target register with the capacity of the one before."""
        entry = self.scheduler_state.targets[target].entry
        changed = replace(entry, incarnation_start_ms=incarnation_start_ms)
        self.scheduler_state.register_target(changed)

    def restart(self, target: str) -> None:
        """Let a target crash, register again and report that nothing runs on it."""
        record = self.scheduler_state.targets[target]
        incarnation_start_ms = record.incarnation_start_ms + 1
        self.register(target, incarnation_start_ms)
        self.ends.pop(target, None)
        self.report(target, incarnation_start_ms=incarnation_start_ms)

    def end(self, order: StartOrder, outcome: RunOutcome) -> list[Order]:
        """Let the target of a start report the end of this run and its other runs as active."""
        others = tuple(
            (run.key, run.run_id)
            for run in self.scheduler_state.targets[order.target_id].runs.values()
            if run.key != order.key
        )
        return self.report(order.target_id, others, ((order.key, order.run_id, outcome),))


def list_stops(orders: list[Order]) -> list[tuple[TaskKey, int]]:
    """Return the keys and ids of the runs that the orders stop."""
    return [(order.key, order.run_id) for order in orders if isinstance(order, StopOrder)]
