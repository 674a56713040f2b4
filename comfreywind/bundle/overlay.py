"""Validates the overlays of branches and applies them to the central rules."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from comfreywind.bundle.source import BundleSource


@dataclass(frozen=True, slots=True)
class Override:
    """A field of the central rules that a branch overrides."""

    branch: str
    path: str
    amount: float


def list_overrides(source: BundleSource) -> Iterator[Override]:
    """Yield every field that a branch overrides."""
    for branch, overlay in source.branches.items():
        for section, entries in overlay.items():
            for name, fields in entries.items():
                for field_name, amount in fields.items():
                    yield Override(branch, f'{section}.{name}.{field_name}', amount)


def find_overlay_faults(source: BundleSource) -> Iterator[str]:
    """Yield the key path and reason of each override that the central rules don't allow."""
    branch_by_path: dict[str, str] = {}
    for override in list_overrides(source):
        location = f'branches.{override.branch}.{override.path}'
        reason = _explain_rejection(source, override)
        if reason is not None:
            yield f'{location}: {reason}'
        other_branch = branch_by_path.setdefault(override.path, override.branch)
        if other_branch != override.branch:
            yield f'{location}: branch {other_branch!r} changes the same field'


def apply_overlays(source: BundleSource) -> dict[str, Any]:
    """Return the central rules as a document with all overrides applied."""
    document = source.model_dump(mode='json', exclude={'branches', 'branch_limits'})
    for override in list_overrides(source):
        section, name, field_name = override.path.split('.')
        document[section][name][field_name] = override.amount
    return document


def _explain_rejection(source: BundleSource, override: Override) -> str | None:
    section, name, field_name = override.path.split('.')
    rules_section = getattr(source, section, None)
    if not isinstance(rules_section, dict) or name not in rules_section:
        return 'the central rules have no such entry'
    if field_name not in type(rules_section[name]).model_fields:
        return 'there is no such field'
    limits = [limit for limit in source.branch_limits if limit.covers(override.path)]
    if not limits:
        return 'the central rules do not let branches change this field'
    if any(limit.minimum <= override.amount <= limit.maximum for limit in limits):
        return None
    return f'{override.amount} is outside {limits[0].minimum} to {limits[0].maximum}'
