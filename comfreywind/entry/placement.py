"""A place at a target."""

from dataclasses import dataclass

from comfreywind.platform.vm_entry import VmEntry


@dataclass(frozen=True, slots=True)
class Placement:
    """The target chosen for a ticket; one slot there and one unit of the team are held.

    `started_s` is the monotonic time in seconds at which it was made, `charged_s` the run time that
    the order of starts expects until the request ends.
    """

    target: VmEntry
    team: str
    pool: str
    started_s: float = 0
    urgent: bool = False
    charged_s: float = 0
