"""A slot that is reserved at a target."""

from dataclasses import dataclass

from comfreywind.platform.vm_entry import VmEntry


@dataclass(frozen=True, slots=True)
class Placement:
    """The target chosen for a ticket; holds one slot there and one unit of the team.

    `started_s` is the monotonic time in seconds of the reservation. `charged_s` is the run time in
    seconds that was charged to the team at the start and is corrected when the request ends.
    """

    target: VmEntry
    team: str
    pool: str
    started_s: float = 0
    urgent: bool = False
    charged_s: float = 0
