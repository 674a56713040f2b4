"""A row of the table `members`."""

from dataclasses import dataclass, field
from typing import Any

from comfreywind.decisions.portions.holder_name import make_holder
from comfreywind.decisions.portions.totals import NumberMap
from comfreywind.entry.portions.portion_codec import decode_totals


@dataclass(frozen=True, slots=True)
class MemberRow:
    """The latest incarnation of an entry that joined, and the last renewal of its session.

    `peer_address` is where the entry accepts connections of its peers. `fenced_flows` maps each
    resource to the flows that the members reported when they agreed to the fence of this
    incarnation; whoever settles the holder records them in the portion row.
    """

    name: str
    incarnation: int
    peer_address: str
    data_centre: str
    renewal_number: int
    fenced: bool = False
    fenced_flows: dict[str, NumberMap] = field(default_factory=dict)

    @property
    def holder(self) -> str:
        """Return the holder name under which portion rows record the units of this incarnation."""
        return make_holder(self.name, self.incarnation)


def encode_member_row(member: MemberRow) -> dict[str, Any]:
    """Return the row as a JSON document; the name is the key of the row."""
    return {
        'incarnation': member.incarnation,
        'peer_address': member.peer_address,
        'data_centre': member.data_centre,
        'renewal_number': member.renewal_number,
        'fenced': member.fenced,
        'fenced_flows': {name: dict(totals) for name, totals in member.fenced_flows.items()},
    }


def decode_member_row(name: str, document: dict[str, Any]) -> MemberRow:
    """Return the member row that the document under the key `name` describes."""
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
