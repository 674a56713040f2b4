"""Input models of a rule bundle as operators write it."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

NamePattern = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
Ratio = Annotated[float, Field(ge=0, le=1)]


class BundleModel(BaseModel):
    """An immutable model that rejects unknown keys."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class TeamModel(BundleModel):
    """A team: its weight in fair sharing and its ceiling of concurrent requests."""

    weight: float = Field(default=1, gt=0)
    ceiling_units: int = Field(ge=0)


class PoolModel(BundleModel):
    """A pool of VMs and its availability budget."""

    max_run_s: float = Field(default=30, gt=0)
    minimum_available_ratio: Ratio = 0.75
    tolerate: Literal['none', 'rack', 'data-centre'] = 'none'
    spare: bool = False
    slots_per_vm: int = Field(default=8, gt=0)
    connections_per_vm: int = Field(default=64, gt=0)
    maintenance_enabled: bool = True
    maintenance_period_s: float = Field(default=4_233_600, gt=0)
    maintenance_lead_s: float = Field(default=604_800, ge=0)
    spare_hold_s: float = Field(default=600, ge=0)


class QueueModel(BundleModel):
    """A queue: the pool that serves it and the teams that may use it."""

    pool: NamePattern
    teams: tuple[NamePattern, ...] = ()
    open: bool = False
    open_team: NamePattern | None = None
    urgent: bool = False
    queue_limit: int = Field(default=200, gt=0)


class ObjectiveModel(BundleModel):
    """A service-level objective for a queue: ratio of requests answered in time over 30 days."""

    queue: NamePattern
    success_ratio: Ratio = 0.999
    latency_s: float = Field(default=5, gt=0)


class BundleDocument(BundleModel):
    """A whole rule bundle after its overlays have been merged."""

    teams: dict[NamePattern, TeamModel] = Field(min_length=1)
    pools: dict[NamePattern, PoolModel] = Field(min_length=1)
    queues: dict[NamePattern, QueueModel] = Field(min_length=1)
    objectives: tuple[ObjectiveModel, ...] = ()
