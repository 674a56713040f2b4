"""Settings of the target stand-in."""

from pydantic import Field

from comfreywind.logs import LogFormat
from comfreywind.settings.address import AddressField
from comfreywind.settings.base import SettingsModel


class ExecutorSettings(SettingsModel):
    """One executor: an HTTP server with slots and connections."""

    name: str
    address: AddressField
    slots: int = Field(default=8, gt=0)
    connections: int = Field(default=64, gt=0)


class TargetStandInSettings(SettingsModel):
    """The executors that one stand-in process serves."""

    executors: tuple[ExecutorSettings, ...] = Field(min_length=1)
    log_format: LogFormat = 'human'
