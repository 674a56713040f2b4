"""Budget and maintenance rules of a pool."""

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Budget and maintenance rules of a pool, from the bundle and the settings.

    A VM that has failed for `doubt_s` becomes suspect; after `suspect_s` it is replaced. A VM that
    has not returned from its reboot after `reboot_limit_s` is replaced too. The row of a VM that
    has been missing from the VM list for `retire_s` is deleted.
    """

    minimum_available_ratio: float
    tolerate: Literal['none', 'rack', 'data-centre']
    spare: bool
    maintenance_enabled: bool
    maintenance_period_s: float
    maintenance_lead_s: float
    spare_hold_s: float
    doubt_s: float
    suspect_s: float
    reboot_limit_s: float
    retire_s: float
