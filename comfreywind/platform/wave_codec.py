"""Decodes the maintenance waves that the operator requests, and encodes their state for it."""

import json
import logging

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from comfreywind.jobs.job_limits import AMOUNT_LIMIT
from comfreywind.jobs.maintenance_wave import MaintenanceWave

log = logging.getLogger('comfreywind.upkeep')


class _Wave(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    rollout_wave: int = Field(ge=-AMOUNT_LIMIT, le=AMOUNT_LIMIT)
    machines: list[str] = Field(default_factory=list)
    duration_s: float = Field(default=0, ge=0, le=AMOUNT_LIMIT)
    cap: int = Field(default=1, ge=0, le=AMOUNT_LIMIT)


def decode_wave(payload: bytes) -> MaintenanceWave | None:
    """Return the wave, or None, and log a warning, when the row is invalid."""
    try:
        wave = _Wave.model_validate_json(payload)
    except ValidationError as error:
        log.warning("maintenance wave can't be read and is ignored: %s", error.errors()[:2])
        return None
    return MaintenanceWave(wave.rollout_wave, tuple(wave.machines), wave.cap, wave.duration_s)


def encode_wave_state(complete: bool) -> bytes:
    """Return the value of the row that shows the operator whether a wave is complete."""
    return json.dumps({'state': 'complete' if complete else 'in_progress'}).encode()
