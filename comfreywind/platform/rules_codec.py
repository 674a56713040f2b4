"""Decodes the configuration that the operator stores into the rules for jobs."""

import logging

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.pool import Pool
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.team import Team
from comfreywind.platform.amounts import Amounts

log = logging.getLogger('comfreywind.rules')


class _Part(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _Recommendation(_Part):
    decision_ms: int = 0
    per_worker_ms: int = 0
    validity_ms: int = 0


class _Route(_Part):
    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int = 0
    target_latency_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    stretch_factor: float = 1
    public: bool = False
    recommendation: _Recommendation | None = None


class _Service(_Part):
    name: str
    admission_control: bool = False
    standby: bool = False


class _Tenant(_Part):
    name: str
    api_keys: list[str] = Field(default_factory=list)
    weight: float = 1
    cap: Amounts = Field(default_factory=Amounts)


class _Config(_Part):
    version: int
    routes: list[_Route] = Field(default_factory=list)
    services: list[_Service] = Field(default_factory=list)
    tenants: list[_Tenant] = Field(default_factory=list)


def decode_rules(payload: bytes) -> JobRules | None:
    """Return the rules, or None, and log a warning, when the configuration is invalid."""
    try:
        config = _Config.model_validate_json(payload)
    except ValidationError as error:
        log.warning(
            "configuration can't be read and is ignored, the rules stay as they are: %s",
            error.errors()[:3],
        )
        return None
    return JobRules(
        version=config.version,
        queues={route.name: _decode_queue(route) for route in config.routes},
        pools={
            service.name: Pool(service.name, service.admission_control, service.standby)
            for service in config.services
        },
        teams={tenant.name: _decode_team(tenant) for tenant in config.tenants},
        teams_by_key={key: tenant.name for tenant in config.tenants for key in tenant.api_keys},
    )


def _decode_queue(route: _Route) -> Queue:
    advice = route.recommendation or _Recommendation()
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        pool=route.service,
        priority=route.priority,
        attempt_limit=route.max_attempts,
        stretch_factor=route.stretch_factor,
        latency_objective_ms=route.target_latency_ms,
        open_to_all=route.public,
        timeout_ms=route.timeout_ms,
        advice_validity_ms=advice.validity_ms,
        advice_decision_ms=advice.decision_ms,
        advice_per_target_ms=advice.per_worker_ms,
    )


def _decode_team(tenant: _Tenant) -> Team:
    return Team(tenant.name, tenant.weight, tenant.cap.to_resources())
