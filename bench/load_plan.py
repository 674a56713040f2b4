"""Plans of the load tool, read from YAML or made by an experiment."""

from typing import Literal

from pydantic import Field

from comfreywind.settings.base import SettingsModel


class BurstShape(SettingsModel):
    """Bursts of `peak_factor` times the mean rate, then `low_ratio` of that peak.

    The time between bursts follows from the mean rate, which is kept over a whole period.
    """

    burst_s: float = Field(default=3, gt=0)
    peak_factor: float = Field(default=5, gt=1)
    low_ratio: float = Field(default=0.05, ge=0, lt=1)
    offset_s: float = Field(default=0, ge=0)


class LoadStream(SettingsModel):
    """Requests of one team to one queue through one entry."""

    team: str
    queue: str
    entry: str
    key: str = ''
    method: Literal['GET', 'POST'] = 'GET'
    path: str = '/work?duration_s=0.1'
    rate_hz: float = Field(gt=0)
    wait_s: float = Field(default=30, gt=0)
    burst: BurstShape | None = None


class LoadPlan(SettingsModel):
    """All streams of a run; requests sent during the warm-up are not measured.

    `watched_pids` are the processes of the stand-ins.
    """

    streams: tuple[LoadStream, ...] = Field(min_length=1)
    duration_s: float = Field(default=10, gt=0)
    warm_up_s: float = Field(default=2, ge=0)
    processes: int = Field(default=1, ge=1, le=8)
    seed: int = 1
    in_flight_limit: int = Field(default=4000, gt=0)
    watched_pids: tuple[int, ...] = ()
