"""The work and the VMs of each pool at one moment, by the scheduler state."""

import math
from dataclasses import dataclass, field

from comfreywind.decisions.scheduling.placement import compute_effective_request, count_slots
from comfreywind.jobs.resources import Resources, sum_resources
from comfreywind.jobs.vm import Vm
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord


@dataclass(slots=True)
class PoolWork:
    """The targets, open jobs with waiting tasks and VMs of a pool.

    `arriving` counts the VMs on their way to it.
    """

    targets: list[TargetRecord] = field(default_factory=list)
    waiting: list[JobRecord] = field(default_factory=list)
    vms: list[Vm] = field(default_factory=list)
    arriving: int = 0

    def compute_load_vms(self) -> float:
        """Return the work that runs or waits, in VMs of the pool's mean size.

        The scarcest resource decides, because tasks may fill the memory of VMs whose processors are
        idle.
        """
        capacity = sum_resources(target.entry.capacity for target in self.targets)
        running = sum_resources(target.used for target in self.targets)
        waiting = sum_resources(
            compute_effective_request(record.job.steps[key.step])
            for record in self.waiting
            for key in record.waiting
        )
        return len(self.targets) * running.add(waiting).compute_dominant_share(capacity)

    def count_vms_for_long_running(self) -> int:
        """Return how many empty VMs the waiting long-running tasks need.

        Long-running tasks start before others, so one that waits fits on no target: the free memory
        or processor time is scattered over the VMs in pieces that are too small for it.
        """
        vms = 0
        for record in self.waiting:
            if not record.job.long_running:
                continue
            step = record.job.steps[next(iter(record.waiting)).step]
            request = compute_effective_request(step)
            slots_per_vm = max(
                (count_slots(request, target.entry.capacity) for target in self.targets), default=1
            )
            slots = min(slots_per_vm, step.target_limit or slots_per_vm)
            vms += math.ceil(len(record.waiting) / max(1, slots))
        return vms


def group_by_pool(scheduler_state: SchedulerState) -> dict[str, PoolWork]:
    """Return the work of every pool that has targets or waiting jobs, in one pass."""
    work_by_pool: dict[str, PoolWork] = {}
    for target in scheduler_state.targets.values():
        work_by_pool.setdefault(target.entry.pool, PoolWork()).targets.append(target)
    for record in scheduler_state.open_jobs.values():
        if record.waiting:
            work_by_pool.setdefault(scheduler_state.get_pool(record), PoolWork()).waiting.append(
                record
            )
    return work_by_pool


def compute_mean_capacity(targets: list[TargetRecord]) -> Resources:
    """Return the mean capacity of the targets."""
    total = sum_resources(target.entry.capacity for target in targets)
    count = max(1, len(targets))
    return Resources(
        total.cpu_millicores // count, total.memory_mb // count, total.accelerators // count
    )
