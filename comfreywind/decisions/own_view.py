"""Summary of this entry's view, for the freshness decisions."""

from dataclasses import dataclass

from comfreywind.decisions.view_summary import ViewSummary


@dataclass(frozen=True, slots=True)
class OwnView:
    """The summary of this entry's view, and the digests of peers' rows that were merged into it.

    `accepted_version` is the highest bundle version known to be accepted, even if its content has
    not been read yet.
    """

    mark: ViewSummary
    accepted_version: int
    merged_keys: frozenset[int]
    merged_vms: frozenset[int]

    def covers(self, mark: ViewSummary) -> bool:
        """Return whether this view holds everything that the other one holds."""
        keys_covered = mark.keys_digest == self.mark.keys_digest
        vms_covered = mark.vms_digest == self.mark.vms_digest
        return (
            self.mark.bundle_version >= mark.bundle_version
            and (keys_covered or mark.keys_digest in self.merged_keys)
            and (vms_covered or mark.vms_digest in self.merged_vms)
        )
