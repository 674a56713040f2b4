"""Limits on the fields that branches may override."""

from typing import Annotated

from pydantic import Field

from comfreywind.bundle.models import BundleModel

PathPattern = Annotated[str, Field(pattern=r'^[a-z_]+\.(\*|[a-z0-9-]+)\.[a-z_]+$')]


class BranchLimit(BundleModel):
    """A field that branches may override, such as `teams.*.weight`, and its inclusive bounds."""

    path: PathPattern
    minimum: float
    maximum: float

    def covers(self, path: str) -> bool:
        """Return whether the limit applies to the path; `*` matches any name."""
        pattern_parts = self.path.split('.')
        path_parts = path.split('.')
        return len(pattern_parts) == len(path_parts) and all(
            pattern in {'*', part} for pattern, part in zip(pattern_parts, path_parts, strict=True)
        )
