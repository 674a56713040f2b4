"""The VMs that the platform's VM service lists."""

from dataclasses import dataclass

from comfreywind.jobs.vm import Vm


@dataclass(frozen=True, slots=True)
class VmList:
    """The VMs as of one reading of the list.

    `complete` is false if an entry could not be read; what is missing may then exist nevertheless.
    """

    vms: tuple[Vm, ...]
    complete: bool = True
