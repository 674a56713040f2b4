"""Amounts of resources as the users' platform writes them."""

from pydantic import BaseModel, ConfigDict

from comfreywind.jobs.resources import Resources


class Amounts(BaseModel):
    """Processor time in thousandths of a core, memory in megabytes, accelerators."""

    model_config = ConfigDict(extra='ignore', frozen=True)

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def to_resources(self) -> Resources:
        """Return the amounts in the product's type."""
        return Resources(self.cpu, self.mem_mb, self.gpu)
