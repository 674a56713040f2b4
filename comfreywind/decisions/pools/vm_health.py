"""The health of a VM as an entry observes it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VmHealth:
    """Whether a VM works, and for how many seconds this has been so without a break.

    A VM works if the platform lists it as live and it accepts connections. `listed` tells whether
    it is on the VM list in any state; `incarnation` is that on the list, 0 if it is not listed.
    """

    works: bool
    unchanged_s: float
    listed: bool
    incarnation: int
