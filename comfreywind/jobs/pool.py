"""A pool of targets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pool:
    """A group of targets that serve the same queues.

    With `admission_control` its targets refuse a start that does not fit into their free capacity.
    The VMs of a pool with `standby` are powered off.
    """

    name: str
    admission_control: bool = False
    standby: bool = False
