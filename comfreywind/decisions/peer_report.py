"""What a member's report says about a view."""

from dataclasses import dataclass

from comfreywind.decisions.view_mark import ViewMark


@dataclass(frozen=True, slots=True)
class PeerReport:
    """The mark of a member's view.

    `as_of_s` is a time on this entry's own clock at or before which the member has last finished an
    attempt to read the store: with success, and the mark holds what was read, or without. It is
    when this entry sent the heartbeat that the report echoes, less the age of the attempt, so
    neither a delay of the report nor a freeze of the member makes a report look younger.
    """

    name: str
    as_of_s: float
    mark: ViewMark
