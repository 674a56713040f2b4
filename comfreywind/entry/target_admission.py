"""Which targets may get work, by something other than their load."""

from typing import Protocol

from comfreywind.platform.vm_entry import VmEntry


class TargetAdmission(Protocol):
    """Admits targets to the choice and adds to their load."""

    def admits(self, vm: VmEntry, idempotent: bool) -> bool:
        """Return whether the target may get a request of this kind now."""

    def count_failure_load(self, vm: VmEntry) -> int:
        """Return how many outstanding requests recent failures of the target count as."""


class AdmitAll:
    """Admits every target."""

    def admits(self, vm: VmEntry, idempotent: bool) -> bool:
        """Return that it may."""
        return True

    def count_failure_load(self, vm: VmEntry) -> int:
        """Return no load."""
        return 0
