"""Interface that restricts which targets may get requests."""

from typing import Protocol

from comfreywind.platform.vm_entry import VmEntry


class TargetAdmission(Protocol):
    """Excludes targets from the choice or makes them less likely by adding to their load."""

    def admits(self, vm: VmEntry, idempotent: bool) -> bool:
        """Return whether the target may get a request of this kind now."""

    def count_failure_load(self, vm: VmEntry) -> int:
        """Return the load of the target's recent failures, in equivalent outstanding requests."""


class AdmitAll:
    """Admits every target and adds no load."""

    def admits(self, vm: VmEntry, idempotent: bool) -> bool:
        """Return True for every target."""
        return True

    def count_failure_load(self, vm: VmEntry) -> int:
        """Return 0 for every target."""
        return 0
