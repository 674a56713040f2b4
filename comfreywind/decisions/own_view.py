"""Summary of this entry's view, for the freshness decisions."""

from dataclasses import dataclass

from comfreywind.decisions.view_summary import ViewSummary


@dataclass(frozen=True, slots=True)
class OwnView:
    """The summary of this entry's view, and the digests of peers' rows that were merged into it.

    `accepted_version` is the highest bundle version known to be accepted, even if its content has
    not been read yet.
    """

    summary: ViewSummary
    accepted_version: int
    merged_keys: frozenset[int]
    merged_vms: frozenset[int]

    def covers(self, summary: ViewSummary) -> bool:
        """Return whether this view holds everything that the other one holds."""
        keys_covered = summary.keys_digest == self.summary.keys_digest
        vms_covered = summary.vms_digest == self.summary.vms_digest
        return (
            self.summary.bundle_version >= summary.bundle_version
            and (keys_covered or summary.keys_digest in self.merged_keys)
            and (vms_covered or summary.vms_digest in self.merged_vms)
        )
