"""Report of a member about its view."""

from dataclasses import dataclass

from comfreywind.decisions.view_summary import ViewSummary


@dataclass(frozen=True, slots=True)
class PeerReport:
    """The summary of a member's view, and how old it is at most.

    `as_of_s` is a time on this entry's own clock, not later than the member's last finished attempt
    to read the store. The attempt may have failed; if it succeeded, the summary covers what was
    read. The time is computed as the moment when this entry sent the heartbeat that the report
    echoes, less the age of the attempt, so neither a delay of the report nor a freeze of the member
    makes a report look newer than it is.
    """

    name: str
    as_of_s: float
    summary: ViewSummary
