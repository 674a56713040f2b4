"""Settings of an entry process."""

from typing import Literal

from pydantic import Field

from comfreywind.logs import LogFormat
from comfreywind.settings.address import AddressField
from comfreywind.settings.base import SettingsModel
from comfreywind.settings.timings import Timings

NAME_PATTERN = '^[a-z0-9][a-z0-9-]{0,62}$'
SHA256_PATTERN = '^[0-9a-f]{64}$'


class EntrySettings(SettingsModel):
    """What an entry process learns from its settings file."""

    name: str = Field(pattern=NAME_PATTERN)
    data_centre: str = Field(pattern=NAME_PATTERN)
    caller_address: AddressField
    operator_address: AddressField
    peer_address: AddressField
    platform_address: AddressField
    peers: tuple[AddressField, ...] = ()
    operator_token_sha256: str = Field(pattern=SHA256_PATTERN)
    statsd_address: AddressField | None = None
    log_format: LogFormat = 'human'
    body_limit_bytes: int = Field(default=1_048_576, gt=0)
    buffer_limit_bytes: int = Field(default=65_536, ge=0)
    push_changes: bool = True
    policy: Literal['shares', 'naive'] = 'shares'
    unit_policy: Literal['portions', 'even-split'] = 'portions'
    timings: Timings = Timings()
