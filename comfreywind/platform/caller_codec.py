"""Decodes the jobs that callers submit, and maps job states to the names that callers expect."""

import re
from typing import Annotated

from pydantic import BaseModel, ConfigDict, FailFast, Field, ValidationError

from comfreywind.errors import JobRequestError
from comfreywind.jobs.job import Job
from comfreywind.jobs.job_codec import encode_job
from comfreywind.jobs.job_limits import (
    AMOUNT_LIMIT,
    STEP_LIMIT,
    TASK_LIMIT,
    TEXT_LIMIT_CHARACTERS,
    TIME_LIMIT_MS,
    describe_exceeded_limit,
)
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step

JOB_ID_PATTERN = re.compile('[0-9a-f]{16}')
SPEC_LIMIT_CHARACTERS = 4000
STATE_NAMES = {
    JobState.QUEUED: 'queued',
    JobState.RUNNING: 'in_progress',
    JobState.COMPLETE: 'complete',
    JobState.FAILED: 'failed',
    JobState.CANCELLED: 'cancelled',
}


class _Step(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    count: int = Field(default=1, ge=1, le=TASK_LIMIT)
    cpu: int = Field(default=0, ge=0, le=AMOUNT_LIMIT)
    mem_mb: int = Field(default=0, ge=0, le=AMOUNT_LIMIT)
    gpu: int = Field(default=0, ge=0, le=AMOUNT_LIMIT)
    estimate_ms: int = Field(default=0, ge=0, le=AMOUNT_LIMIT)
    # 65,000 errors of one body took 90 MB; a list now ends at its first.
    after: Annotated[list[int], FailFast()] = Field(default_factory=list, max_length=STEP_LIMIT)
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = Field(default='', max_length=TEXT_LIMIT_CHARACTERS)
    affinity: str = Field(default='', max_length=TEXT_LIMIT_CHARACTERS)
    max_per_server: int = Field(default=0, ge=0, le=AMOUNT_LIMIT)
    speculative: bool = False
    long_running: bool = False
    image: str = Field(default='', max_length=TEXT_LIMIT_CHARACTERS)
    target_ms: int = Field(default=0, ge=0, le=AMOUNT_LIMIT)
    # Despite its name a flag: the tasks use processor time that other tasks leave idle.
    fill_count: bool | int = False
    max_unavailable: int = Field(default=0, ge=0, le=AMOUNT_LIMIT)


class _JobRequest(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    spec: str = Field(default='', max_length=SPEC_LIMIT_CHARACTERS)
    steps: Annotated[list[_Step], FailFast()] = Field(min_length=1, max_length=STEP_LIMIT)
    repeat_count: int = Field(default=0, ge=0, le=TASK_LIMIT)
    start_at_ms: int = Field(default=0, ge=0, le=TIME_LIMIT_MS)
    interval_ms: int = Field(default=0, ge=0, le=TIME_LIMIT_MS)


def decode_job_request(
    body: bytes, job_id: str, team: str, queue: Queue, accepted_ms: int, row_limit_bytes: int
) -> Job:
    """Return the job in a request body; raise JobRequestError, which names the invalid fields."""
    try:
        request = _JobRequest.model_validate_json(body)
    except ValidationError as error:
        reasons = '; '.join(
            f'{_format_location(detail["loc"])}: {detail["msg"]}' for detail in error.errors()[:3]
        )
        raise JobRequestError(f'the job is not valid: {reasons}') from error
    steps = tuple(map(_decode_step, request.steps))
    _check_dependencies(steps)
    job = Job(
        job_id=job_id,
        team=team,
        queue=queue,
        spec=request.spec,
        steps=steps,
        accepted_ms=accepted_ms,
        occurrence_count=request.repeat_count,
        first_due_ms=request.start_at_ms,
        interval_ms=request.interval_ms,
    )
    _check_size(job, row_limit_bytes)
    return job


def _check_size(job: Job, row_limit_bytes: int) -> None:
    """Raise JobRequestError for a job beyond the limits or whose row the store would refuse."""
    exceeded_limit = describe_exceeded_limit(job)
    if exceeded_limit is not None:
        raise JobRequestError(f'the job is too large: {exceeded_limit}')
    # The store counts the length in base64, which is a third longer.
    size_bytes = len(encode_job(job)) * 4 // 3
    if size_bytes > row_limit_bytes:
        raise JobRequestError(f'the job takes {size_bytes} bytes of {row_limit_bytes}')


def _format_location(location: tuple[int | str, ...]) -> str:
    return '.'.join(map(str, location)) or 'body'


def _check_dependencies(steps: tuple[Step, ...]) -> None:
    """Raise JobRequestError for a step that depends on itself or a later step.

    With dependencies on earlier steps only, there can be no cycle.
    """
    for number, step in enumerate(steps):
        if any(not 0 <= earlier < number for earlier in step.after):
            raise JobRequestError(f'steps.{number}.after: names a step that is not earlier')


def _decode_step(step: _Step) -> Step:
    return Step(
        task_count=step.count,
        request=Resources(step.cpu, step.mem_mb, step.gpu),
        estimate_ms=step.estimate_ms,
        after=tuple(step.after),
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.required_label,
        preferred_rack=step.affinity,
        target_limit=step.max_per_server,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        tail_latency_limit_ms=step.target_ms,
        best_effort=bool(step.fill_count),
        unavailable_limit=step.max_unavailable,
    )
