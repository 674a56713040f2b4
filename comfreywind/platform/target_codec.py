"""Decodes the registrations of targets in the platform's store."""

import logging

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from comfreywind.jobs.job_limits import TIME_LIMIT_MS
from comfreywind.jobs.target_entry import TargetEntry
from comfreywind.platform.amounts import Capacity
from comfreywind.settings.address import AddressField

STATES = frozenset(('ready', 'draining'))

log = logging.getLogger('comfreywind.targets')


class _Registration(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    service: str
    address: AddressField
    zone: str
    state: str
    capacity: Capacity
    labels: list[str] = Field(default_factory=list)
    born: int = Field(default=0, ge=0, le=TIME_LIMIT_MS)
    cold_left_ms: int = Field(default=0, ge=-TIME_LIMIT_MS, le=TIME_LIMIT_MS)
    remaining_ms: int | None = Field(default=None, ge=-TIME_LIMIT_MS, le=TIME_LIMIT_MS)


def decode_target(target_id: str, payload: bytes) -> TargetEntry | None:
    """Return the target, or None, and log it, when the registration is invalid."""
    try:
        registration = _Registration.model_validate_json(payload)
    except ValidationError as error:
        log.info(
            "registration of target %s can't be read and is ignored: %s",
            target_id,
            error.errors()[:2],
        )
        return None
    if not registration.address.port:
        log.info('registration of target %s is ignored: its port is 0', target_id)
        return None
    if registration.state not in STATES:
        log.info(
            "registration of target %s is ignored: state %r is not 'ready' or 'draining'",
            target_id,
            registration.state,
        )
        return None
    return TargetEntry(
        target_id=target_id,
        pool=registration.service,
        address=registration.address,
        data_centre=registration.zone,
        draining=registration.state == 'draining',
        capacity=registration.capacity.to_resources(),
        labels=frozenset(registration.labels),
        incarnation_start_ms=registration.born,
        cold_left_ms=registration.cold_left_ms,
        remaining_ms=registration.remaining_ms,
    )
