"""The row that names the VMs of each wave whose maintenance is done or has begun."""

import msgpack

from comfreywind.jobs.row_format import wrap_row_errors

MAINTENANCE_KEY = 'upkeep'


def encode_maintenance(done: dict[int, set[str]]) -> bytes:
    """Return the row; `done` holds the names of VMs by wave."""
    packed: bytes = msgpack.packb({wave: sorted(names) for wave, names in done.items()})
    return packed


def decode_maintenance(payload: bytes | None) -> dict[int, set[str]]:
    """Return the names of the VMs done in each wave; raise RowFormatError for another format."""
    if not payload:
        return {}
    with wrap_row_errors('row of the upkeep'):
        waves = dict(msgpack.unpackb(payload, strict_map_key=False))
        return {int(wave): set(names) for wave, names in waves.items()}
