"""What a peer has reported about its view."""

from dataclasses import dataclass

from comfreywind.decisions.view_mark import ViewMark


@dataclass(frozen=True, slots=True)
class PeerReport:
    """A report that is newer than `asked_s` on this entry's own clock."""

    name: str
    asked_s: float
    mark: ViewMark
