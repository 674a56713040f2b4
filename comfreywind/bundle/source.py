"""A bundle as operators write it: central rules, limits on overrides and overlays of branches."""

from pydantic import Field

from comfreywind.bundle.branch_limit import BranchLimit
from comfreywind.bundle.models import BundleDocument, NamePattern

Overlay = dict[str, dict[str, dict[str, float]]]


class BundleSource(BundleDocument):
    """Central rules with the branches' overlays; an overlay has the shape of the rules."""

    branch_limits: tuple[BranchLimit, ...] = ()
    branches: dict[NamePattern, Overlay] = Field(default_factory=dict)
