"""Amounts of processor, memory and accelerators."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource; used for capacities, requests and ceilings."""

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
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def is_within(self, ceiling: 'Resources') -> bool:
        """Return whether this amount is not above a ceiling, in which 0 means no limit."""
        return not (
            0 < ceiling.cpu_millicores < self.cpu_millicores
            or 0 < ceiling.memory_mb < self.memory_mb
            or 0 < ceiling.accelerators < self.accelerators
        )

    def compute_dominant_share(self, whole: 'Resources') -> float:
        """Return the part of a whole that this amount takes of its scarcest resource.

        What the whole has none of does not count.
        """
        pairs = (
            (self.cpu_millicores, whole.cpu_millicores),
            (self.memory_mb, whole.memory_mb),
            (self.accelerators, whole.accelerators),
        )
        return max((amount / total for amount, total in pairs if total), default=0)

    def fits(self, free: 'Resources') -> bool:
        """Return whether this amount is free in full."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )


NO_RESOURCES = Resources()


def sum_resources(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of all amounts."""
    cpu_millicores = 0
    memory_mb = 0
    accelerators = 0
    for amount in amounts:
        cpu_millicores += amount.cpu_millicores
        memory_mb += amount.memory_mb
        accelerators += amount.accelerators
    return Resources(cpu_millicores, memory_mb, accelerators)
