"""Settings of the platform stand-in."""

from typing import Literal

from pydantic import Field

from comfreywind.logs import LogFormat
from comfreywind.settings.address import AddressField
from comfreywind.settings.base import SettingsModel


class VmSettings(SettingsModel):
    """One VM on the platform's list."""

    name: str
    address: AddressField
    data_centre: str
    rack: str
    pool: str
    state: Literal['live', 'leaving'] = 'live'
    incarnation: int = 1


class PlatformStandInSettings(SettingsModel):
    """Address and VM list of the platform stand-in."""

    address: AddressField
    log_format: LogFormat = 'human'
    vm_list_lag_s: float = Field(default=1, ge=0)
    reboot_s: float = Field(default=0.5, ge=0)
    vms: tuple[VmSettings, ...] = ()
