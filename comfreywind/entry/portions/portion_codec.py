"""Converts portion rows to and from documents of the table service."""

from typing import Any

from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.reclaim import Reclaim
from comfreywind.decisions.portions.totals import NumberMap

RESOURCE_PREFIX = 'team:'


def make_resource(team: str) -> str:
    """Return the key of the team's row in the table `portions`."""
    return f'{RESOURCE_PREFIX}{team}'


def parse_team(resource: str) -> str:
    """Return the name of the team whose ceiling the resource stands for."""
    return resource.removeprefix(RESOURCE_PREFIX)


def encode_portion_row(row: PortionRow) -> dict[str, Any]:
    """Return the row as a JSON document."""
    return {
        'ceiling_units': row.ceiling_units,
        'ceiling_version': row.ceiling_version,
        'recorded': dict(row.recorded),
        'flows': dict(row.flows),
        'reclaiming': [[record.holder, record.units, record.wait_s] for record in row.reclaiming],
        'settled': dict(row.settled),
    }


def decode_portion_row(document: dict[str, Any]) -> PortionRow:
    """Return the portion row that the document describes."""
    return PortionRow(
        ceiling_units=document['ceiling_units'],
        ceiling_version=document['ceiling_version'],
        recorded=decode_totals(document['recorded']),
        flows=decode_totals(document['flows']),
        reclaiming=tuple(Reclaim(*record) for record in document['reclaiming']),
        settled=decode_totals(document['settled']),
    )


def decode_totals(document: dict[str, int]) -> NumberMap:
    """Return the JSON object as an immutable map of names to numbers."""
    return tuple(sorted(document.items()))
