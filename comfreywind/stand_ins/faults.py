"""Faults that the stand-ins can be told to have."""

from pydantic import BaseModel, ConfigDict, Field


class PlatformFaults(BaseModel):
    """Faults of the platform stand-in."""

    model_config = ConfigDict(extra='forbid')

    latency_s: float = Field(default=0, ge=0)
    down: bool = False
    lose_replies: int = Field(default=0, ge=0)
    silence_open_connections: bool = False
    vm_list_lag_s: float | None = Field(default=None, ge=0)


class TargetFaults(BaseModel):
    """Faults of one executor of the target stand-in."""

    model_config = ConfigDict(extra='forbid')

    latency_s: float = Field(default=0, ge=0)
    fail_all: bool = False
    freeze: bool = False
    silence_open_connections: bool = False
    cut_body_after_bytes: int | None = Field(default=None, ge=0)
    leaving: bool = False
