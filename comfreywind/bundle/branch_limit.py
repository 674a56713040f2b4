"""What the central rulebook lets branches change."""

from typing import Annotated

from pydantic import Field

from comfreywind.bundle.models import BundleModel

PathPattern = Annotated[str, Field(pattern=r'^[a-z_]+\.(\*|[a-z0-9-]+)\.[a-z_]+$')]


class BranchLimit(BundleModel):
    """A field that branches may change, such as `teams.*.weight`, and its bounds."""

    path: PathPattern
    minimum: float
    maximum: float

    def covers(self, path: str) -> bool:
        """Return whether the limit holds for the path; `*` stands for any name."""
        own_parts = self.path.split('.')
        path_parts = path.split('.')
        return len(own_parts) == len(path_parts) and all(
            own in {'*', part} for own, part in zip(own_parts, path_parts, strict=True)
        )
