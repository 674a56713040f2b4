"""The holder's in-memory record of a target."""

from collections import Counter
from dataclasses import dataclass, field

from comfreywind.decisions.scheduling.target_doubt import TargetDoubt
from comfreywind.jobs.resources import NO_RESOURCES, Resources
from comfreywind.jobs.start_reply import StartReply
from comfreywind.jobs.target_entry import TargetEntry
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.known_runs import KnownRuns
from comfreywind.scheduling.run_record import RunRecord, RunState
from comfreywind.scheduling.unstored_ends import UnstoredEnds

# How far the clock in a reply may be from the one that the last report leads to expect. The reply
# may be delayed, and the clocks drift.
CLOCK_TOLERANCE_MS = 500
MS_PER_S = 1000


@dataclass(slots=True)
class TargetRecord:
    """The runs and the availability of a target, with times on the holder's steady clock.

    `suspects` are the runs of tasks that may crash the target, and `images` counts the runs by image.

    The target numbers the ends of its runs. `applied_number` is the highest end applied to the
    scheduler state, `stored_number` the highest whose effects are stored, and `acknowledged_number`
    the highest that was acknowledged to the target; `unstored_ends` tells the jobs of those between
    the first two. `in_registry` is set while the stored target registry names the target, without
    which nothing may be started on it. `due` marks a VM of an open maintenance wave.
    `known_runs` tells what its reports have shown since the takeover.
    `silent` is set while the target gives no answer, `leaving` once its entry is gone or replaced,
    and `emptying` while its VM is being drained for an order. `heard_s` is when it last replied.
    `lapsed_runs` are those whose lease ended while it was silent: whether it has crashed or was only
    cut off shows when it replies again.

    `doubt` tells what is certain of its runs, and has the fence of all orders to it. `clock_offset_ms`
    is the target's clock less the holder's, or None before the present incarnation has told its clock.

    `held` is kept free for tasks that are about to be moved there. `registered_s` is when the present
    registration was read, and `cold_until_s` until when the target counts as slow after its start.
    """

    entry: TargetEntry
    runs: dict[TaskKey, RunRecord] = field(default_factory=dict)
    suspects: set[TaskKey] = field(default_factory=set)
    images: Counter[str] = field(default_factory=Counter)
    used: Resources = NO_RESOURCES
    doubt: TargetDoubt = field(default_factory=TargetDoubt)
    applied_number: int = 0
    stored_number: int = 0
    acknowledged_number: int = 0
    unstored_ends: UnstoredEnds = field(default_factory=UnstoredEnds)
    known_runs: KnownRuns = KnownRuns.NONE
    in_registry: bool = False
    maintenance_due: bool = False
    silent: bool = False
    cooldown_until_s: float = 0
    consecutive_failures: int = 0
    leaving: bool = False
    emptying: bool = False
    heard_s: float = 0
    lapsed_runs: tuple[RunRecord, ...] = ()
    clock_offset_ms: float | None = None
    held: Resources = NO_RESOURCES
    registered_s: float = 0
    cold_until_s: float = 0

    @property
    def incarnation_start_ms(self) -> int:
        """Return when the present incarnation began, in milliseconds since 1970."""
        return self.doubt.incarnation_start_ms

    @property
    def reported(self) -> bool:
        """Return whether the target has reported to this holder."""
        return self.known_runs is not KnownRuns.NONE

    @property
    def has_unstored_ends(self) -> bool:
        """Return whether ends are known, or may wait, of which the store doesn't know."""
        unread = self.known_runs is KnownRuns.ACTIVE
        return unread or self.applied_number > self.stored_number

    @property
    def free(self) -> Resources:
        """Return the capacity that no run has reserved and that is kept for none."""
        return self.entry.capacity.subtract(self.used).subtract(self.held)

    @property
    def has_work(self) -> bool:
        """Return whether the target has runs, or is to get some that are moved there."""
        return bool(self.runs) or self.held != NO_RESOURCES

    def may_start(self, now_s: float) -> bool:
        """Return whether a run may be started on the target at this moment."""
        accepts_starts = self._has_current_capacity() and not self.has_open_suspect()
        return self.in_registry and self.doubt.settled and self.is_usable(now_s) and accepts_starts

    def has_open_suspect(self) -> bool:
        """Return whether a task that may crash the target is not cleared of that yet."""
        return any(not self.runs[key].shows_progress for key in self.suspects)

    def has_runs_without_progress(self) -> bool:
        """Return whether there is a run of which no report has shown progress."""
        return not all(run.shows_progress for run in self.runs.values())

    def is_usable(self, now_s: float) -> bool:
        """Return whether the target could take a run at this moment if the registry names it."""
        unavailable = self.entry.draining or self.leaving or self.emptying
        unresponsive = self.silent or not self.reported
        # After consecutive failures, a single run probes whether the target works again.
        short_runs = not all(run.long_running for run in self.runs.values())
        probing = self.consecutive_failures > 1 and short_runs
        return not (unavailable or unresponsive or probing) and now_s >= self.cooldown_until_s

    def begin_incarnation(self, incarnation_start_ms: int) -> None:
        """Reset what was known of the incarnation before; its runs are kept until a report.

        Some may have been ordered after the restart, or their orders may still arrive.
        """
        self.applied_number = 0
        self.stored_number = 0
        self.acknowledged_number = 0
        self.unstored_ends = UnstoredEnds()
        self.consecutive_failures = 0
        self.doubt.begin_incarnation(incarnation_start_ms)
        self.clock_offset_ms = None

    def raise_fence(self) -> None:
        """Have the target refuse the orders that were sent before, because it may have restarted."""
        self.doubt.raise_fence()
        self.clock_offset_ms = None

    def is_from_present(self, reply: StartReply, now_s: float) -> bool:
        """Return whether the incarnation that has replied is certainly the one that is known."""
        if reply.incarnation_start_ms:
            return reply.incarnation_start_ms == self.incarnation_start_ms
        if reply.clock_ms is None or self.clock_offset_ms is None:
            return False
        expected_ms = now_s * MS_PER_S + self.clock_offset_ms
        return abs(reply.clock_ms - expected_ms) <= CLOCK_TOLERANCE_MS

    def add_run(self, run: RunRecord) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        self.images[run.image] += 1
        if run.suspect:
            self.suspects.add(run.key)
        self.used = self.used.add(run.reserved)

    def remove_run(self, run: RunRecord) -> None:
        """Remove a run and release its resources."""
        if self.runs.get(run.key) is run:
            del self.runs[run.key]
            self.images[run.image] -= 1
            if not self.images[run.image]:
                del self.images[run.image]
            self.suspects.discard(run.key)
            self.used = self.used.subtract(run.reserved)

    def note_cold(self) -> None:
        """Have the target come after warm ones for as long as its registration says."""
        self.cold_until_s = self.registered_s + self.entry.cold_left_ms / MS_PER_S

    def apply_vm_order(self) -> None:
        """Count the runs as unavailable, because the VM is ordered down or moved."""
        self.emptying = True
        for run in self.runs.values():
            run.ending = True
            run.at_work = False

    def revert_vm_order(self) -> None:
        """Revert `apply_vm_order`, because the order for the VM is not carried out."""
        self.emptying = False
        for run in self.runs.values():
            run.ending = run.state is RunState.STOPPING

    def _has_current_capacity(self) -> bool:
        """Return whether the known capacity is that of the incarnation that reports.

        A restarted target may have another capacity, which only its registration tells. A
        registration that doesn't tell its incarnation is taken as current.
        """
        known_ms = self.entry.incarnation_start_ms
        return not known_ms or known_ms >= self.incarnation_start_ms
