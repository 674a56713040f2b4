"""A row of the table `members`."""

from dataclasses import dataclass, field
from typing import Any

from comfreywind.decisions.portions.holder_name import make_holder
from comfreywind.decisions.portions.number_map import NumberMap
from comfreywind.entry.portions.portion_codec import decode_totals


@dataclass(frozen=True, slots=True)
class MemberRow:
    """One incarnation of an entry; `fenced_flows` are the flows by resource to settle after a fence."""

    name: str
    incarnation: int
    peer_address: str
    data_centre: str
    renewal_number: int
    fenced: bool = False
    fenced_flows: dict[str, NumberMap] = field(default_factory=dict)

    @property
    def holder(self) -> str:
        """Return the name under which units are recorded."""
        return make_holder(self.name, self.incarnation)


def encode_member_row(member: MemberRow) -> dict[str, Any]:
    """Return the document of the row."""
    return {
        'incarnation': member.incarnation,
        'peer_address': member.peer_address,
        'data_centre': member.data_centre,
        'renewal_number': member.renewal_number,
        'fenced': member.fenced,
        'fenced_flows': {name: dict(totals) for name, totals in member.fenced_flows.items()},
    }


def decode_member_row(name: str, document: dict[str, Any]) -> MemberRow:
    """Return the row in the document."""
    flows = document.get('fenced_flows', {})
    return MemberRow(
        name=name,
        incarnation=document['incarnation'],
        peer_address=document['peer_address'],
        data_centre=document['data_centre'],
        renewal_number=document['renewal_number'],
        fenced=document['fenced'],
        fenced_flows={resource: decode_totals(totals) for resource, totals in flows.items()},
    )
