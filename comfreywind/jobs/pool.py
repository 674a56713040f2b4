"""A pool of targets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool; its targets refuse what does not fit if `admission_control` is set.

    The VMs of a standby pool are off.
    """

    name: str
    admission_control: bool = False
    standby: bool = False
