"""The row that keeps which VMs of each wave have had their upkeep."""

import msgpack

from comfreywind.jobs.job_codec import RowFormatError

UPKEEP_KEY = 'upkeep'


def encode_upkeep(done: dict[int, set[str]]) -> bytes:
    """Return the row."""
    packed: bytes = msgpack.packb({wave: sorted(names) for wave, names in done.items()})
    return packed


def decode_upkeep(payload: bytes | None) -> dict[int, set[str]]:
    """Return the names of the VMs done in each wave; raise RowFormatError for another format."""
    if not payload:
        return {}
    try:
        waves = dict(msgpack.unpackb(payload, strict_map_key=False))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RowFormatError(f'row of the upkeep: {error}') from error
    return {int(wave): set(names) for wave, names in waves.items()}
