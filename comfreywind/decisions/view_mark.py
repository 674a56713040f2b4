"""Summary of a view, compared between entries."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ViewMark:
    """Bundle version in force, 0 for none, and the digests of the keys and of the VM rows."""

    bundle_version: int
    keys_digest: int
    vms_digest: int
