"""Computes what a task needs of a target, and chooses a rack that fits all tasks of a step."""

from collections.abc import Iterable
from dataclasses import dataclass

from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step


@dataclass(frozen=True, slots=True)
class TargetCapacity:
    """The free capacity of a target that may take a task, and what else decides about it.

    `serving` tells that tasks there serve users, `maintenance_due` that its VM goes down for
    maintenance soon, `cold` that it is still slow after its start.
    """

    target_id: str
    free: Resources
    labels: frozenset[str]
    serving: bool = False
    maintenance_due: bool = False
    cold: bool = False


def compute_effective_request(step: Step) -> Resources:
    """Return what a task reserves on a target; a best-effort task reserves no processor time."""
    if not step.best_effort:
        return step.request
    return Resources(0, step.request.memory_mb, step.request.accelerators)


def choose_rack(step: Step, targets: Iterable[TargetCapacity]) -> str | None:
    """Return the label whose targets fit all tasks of the step with the fewest slots to spare.

    A rack is one of the labels of a target. None means that no rack fits all tasks, so that they
    may go anywhere.
    """
    slots_by_label: dict[str, int] = {}
    request = compute_effective_request(step)
    for target in targets:
        for label in target.labels:
            slots = count_slots(request, target.free)
            slots_by_label[label] = slots_by_label.get(label, 0) + slots
    sufficient = [
        (slots, label) for label, slots in slots_by_label.items() if slots >= step.task_count
    ]
    return min(sufficient)[1] if sufficient else None


def count_slots(request: Resources, free: Resources) -> int:
    """Return how many such requests fit together; a request for nothing counts once."""
    pairs = (
        (request.cpu_millicores, free.cpu_millicores),
        (request.memory_mb, free.memory_mb),
        (request.accelerators, free.accelerators),
    )
    return min((available // needed for needed, available in pairs if needed), default=1)
