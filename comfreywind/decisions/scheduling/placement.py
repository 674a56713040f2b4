"""What a task needs of a target, and which rack has room for a gang."""

from collections.abc import Iterable
from dataclasses import dataclass

from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step


@dataclass(frozen=True, slots=True)
class TargetCapacity:
    """A target that may take a task: what is free on it, and whether tasks there serve users.

    `due` tells that its VM goes down for upkeep soon.
    """

    target_id: str
    free: Resources
    labels: frozenset[str]
    serving: bool = False
    maintenance_due: bool = False


def compute_effective_request(step: Step) -> Resources:
    """Return what a task takes from the room of a target: a filler takes no processor time."""
    if not step.filler:
        return step.request
    return Resources(0, step.request.memory_mb, step.request.accelerators)


def choose_rack(step: Step, rooms: Iterable[TargetCapacity]) -> str | None:
    """Return a label whose targets have room for all tasks of the step, the scarcest that has.

    A rack is one of the labels of a target. Without such a label the tasks may go anywhere.
    """
    slots_by_label: dict[str, int] = {}
    request = compute_effective_request(step)
    for room in rooms:
        for label in room.labels:
            slots = count_slots(request, room.free)
            slots_by_label[label] = slots_by_label.get(label, 0) + slots
    sufficient = [
        (slots, label) for label, slots in slots_by_label.items() if slots >= step.task_count
    ]
    return min(sufficient)[1] if sufficient else None


def count_slots(request: Resources, free: Resources) -> int:
    """Return how many such requests fit beside each other."""
    pairs = (
        (request.cpu_millicores, free.cpu_millicores),
        (request.memory_mb, free.memory_mb),
        (request.accelerators, free.accelerators),
    )
    return min((room // need for need, room in pairs if need), default=1)
