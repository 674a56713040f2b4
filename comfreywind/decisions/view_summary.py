"""Summary of an entry's view, which entries exchange to compare their views."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ViewSummary:
    """The bundle version in force (0 for none) and the digests of the keys and of the VM rows."""

    bundle_version: int
    keys_digest: int
    vms_digest: int
