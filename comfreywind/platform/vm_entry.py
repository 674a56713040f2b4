"""A VM on the platform's VM list."""

from dataclasses import dataclass
from typing import Literal

from comfreywind.settings.address import Address

VmListState = Literal['live', 'leaving']


@dataclass(frozen=True, slots=True)
class VmEntry:
    """A VM as the platform lists it; the list lags behind the actual state."""

    name: str
    address: Address
    data_centre: str
    rack: str
    pool: str
    state: VmListState
    incarnation: int
