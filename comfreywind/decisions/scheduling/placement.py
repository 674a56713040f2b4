"""On which target a task starts."""

from collections.abc import Iterable
from dataclasses import dataclass

from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step


@dataclass(frozen=True, slots=True)
class TargetRoom:
    """A target that may take a task: what is free on it and how many tasks of the step it runs."""

    target_id: str
    free: Resources
    labels: frozenset[str]
    same_step: int = 0
    avoided: bool = False
    serving: bool = False


def find_request(step: Step) -> Resources:
    """Return what a task takes from the room of a target: a filler takes no processor time."""
    if not step.filler:
        return step.request
    return Resources(0, step.request.memory_mb, step.request.accelerators)


def choose_target(step: Step, rooms: Iterable[TargetRoom]) -> TargetRoom | None:
    """Return the target for one task of the step, or None when none fits.

    Tasks of a step that bears few losses are spread, so that one VM can go down with its task.
    Fillers keep away from tasks that serve users, whose tails they would lengthen.
    The rack of the step's data comes first, then the target with the least free processor time:
    tasks are packed, so that large tasks and moves of VMs find whole targets free.
    """
    request = find_request(step)
    fitting = [room for room in rooms if _may_run(step, request, room)]
    if not fitting:
        return None
    return min(fitting, key=lambda room: _find_cost(step, room))


def choose_rack(step: Step, rooms: Iterable[TargetRoom]) -> str | None:
    """Return a label whose targets have room for all tasks of the step, the scarcest that has.

    A rack is one of the labels of a target. Without such a label the tasks may go anywhere.
    """
    slots_by_label: dict[str, int] = {}
    request = find_request(step)
    for room in rooms:
        for label in room.labels:
            slots = _count_slots(request, room.free)
            slots_by_label[label] = slots_by_label.get(label, 0) + slots
    sufficient = [
        (slots, label) for label, slots in slots_by_label.items() if slots >= step.task_count
    ]
    return min(sufficient)[1] if sufficient else None


def _count_slots(request: Resources, free: Resources) -> int:
    pairs = (
        (request.cpu_millicores, free.cpu_millicores),
        (request.memory_mb, free.memory_mb),
        (request.accelerators, free.accelerators),
    )
    return min((room // need for need, room in pairs if need), default=1)


def _may_run(step: Step, request: Resources, room: TargetRoom) -> bool:
    if step.required_label and step.required_label not in room.labels:
        return False
    if step.target_limit and room.same_step >= step.target_limit:
        return False
    return request.fits(room.free)


def _find_cost(step: Step, room: TargetRoom) -> tuple[tuple[bool, int, bool, bool], int, str]:
    remote = bool(step.preferred_rack) and step.preferred_rack not in room.labels
    crowd = room.same_step if step.unavailable_limit else 0
    disturbs = step.filler and room.serving
    return ((room.avoided, crowd, disturbs, remote), room.free.cpu_millicores, room.target_id)
