"""Amounts of resources in the platform's format."""

from pydantic import BaseModel, ConfigDict, Field

from comfreywind.jobs.job_limits import AMOUNT_LIMIT
from comfreywind.jobs.resources import Resources


class Amounts(BaseModel):
    """Processor time in thousandths of a core, memory in megabytes and number of accelerators."""

    model_config = ConfigDict(extra='ignore', frozen=True)

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def to_resources(self) -> Resources:
        """Return the amounts as Resources."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class Capacity(Amounts):
    """What a target or a VM offers; bounded, because other writers may store any number."""

    cpu: int = Field(default=0, ge=0, le=AMOUNT_LIMIT)
    mem_mb: int = Field(default=0, ge=0, le=AMOUNT_LIMIT)
    gpu: int = Field(default=0, ge=0, le=AMOUNT_LIMIT)
