"""Amounts of resources in the platform's format."""

from pydantic import BaseModel, ConfigDict

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
