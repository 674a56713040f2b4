"""Amounts of processor time, memory and accelerators."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource, such as a capacity, a request or a ceiling."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, other: 'Resources') -> 'Resources':
        """Return the sum."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def subtract(self, other: 'Resources') -> 'Resources':
        """Return the difference; its amounts may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def is_within(self, ceiling: 'Resources') -> bool:
        """Return whether no amount exceeds the ceiling, where 0 means no limit."""
        return not (
            0 < ceiling.cpu_millicores < self.cpu_millicores
            or 0 < ceiling.memory_mb < self.memory_mb
            or 0 < ceiling.accelerators < self.accelerators
        )

    def compute_dominant_share(self, total: 'Resources') -> float:
        """Return the largest ratio of an amount to the total amount of the same resource.

        Resources of which the total is 0 are left out.
        """
        pairs = (
            (self.cpu_millicores, total.cpu_millicores),
            (self.memory_mb, total.memory_mb),
            (self.accelerators, total.accelerators),
        )
        return max((amount / whole for amount, whole in pairs if whole), default=0)

    def fits(self, free: 'Resources') -> bool:
        """Return whether the free resources cover every amount."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )


NO_RESOURCES = Resources()


def sum_resources(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of the amounts; NO_RESOURCES without any."""
    cpu_millicores = 0
    memory_mb = 0
    accelerators = 0
    for amount in amounts:
        cpu_millicores += amount.cpu_millicores
        memory_mb += amount.memory_mb
        accelerators += amount.accelerators
    return Resources(cpu_millicores, memory_mb, accelerators)
