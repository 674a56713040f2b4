"""What an entry has observed of a VM."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VmHealth:
    """Whether a VM works, and for how long this has been so without a break.

    A VM works when the platform lists it as live and it accepts connections. `listed` tells whether
    it is on the list at all; `incarnation` is the one on the list, 0 when it is not listed.
    """

    works: bool
    for_s: float
    listed: bool
    incarnation: int
