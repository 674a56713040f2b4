"""Row that tells in which data centre a node is, for the holder."""

import msgpack

from comfreywind.jobs.row_format import wrap_row_errors


def encode_node_data_centre(data_centre: str, renewed_ms: float) -> bytes:
    """Return the row of a node, with the time of its renewal on the store's clock."""
    packed: bytes = msgpack.packb([data_centre, renewed_ms])
    return packed


def decode_node_data_centre(payload: bytes | None) -> tuple[str, float]:
    """Return data centre and time of renewal; raise RowFormatError for another format."""
    with wrap_row_errors('row of the data centre of a node'):
        data_centre, renewed_ms = msgpack.unpackb(payload or b'')
        return str(data_centre), float(renewed_ms)
