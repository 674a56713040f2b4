"""A place at a target."""

from dataclasses import dataclass

from comfreywind.platform.vm_entry import VmEntry


@dataclass(frozen=True, slots=True)
class Placement:
    """The target chosen for a ticket; one slot there and one unit of the team are held."""

    target: VmEntry
    team: str
    pool: str
