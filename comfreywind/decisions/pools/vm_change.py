"""A decided change of a VM's row."""

from dataclasses import dataclass, field

from comfreywind.decisions.pools.pool_vm import PoolVm


@dataclass(frozen=True, slots=True)
class VmChange:
    """The row before and after the change, with the kind, cause and inputs of the decision.

    `after` is None if the row is deleted.
    """

    kind: str
    before: PoolVm
    after: PoolVm | None
    cause: str
    inputs: dict[str, object] = field(default_factory=dict)
