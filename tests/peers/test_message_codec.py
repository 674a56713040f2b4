"""The message codec accepts only well-formed messages of registered types."""

import msgpack
import pytest

from comfreywind.errors import PeerError
from comfreywind.peers.frame_reader import FRAME_HEADER, FRAME_LIMIT_BYTES
from comfreywind.peers.message_codec import CONTAINER_COUNT_LIMIT, MessageCodec
from comfreywind.peers.messages.bundle_offer import BundleOffer
from comfreywind.peers.messages.heartbeat import Heartbeat
from comfreywind.peers.messages.key_change import KeyChange
from comfreywind.peers.messages.key_list import KeyList

KEY_FIELDS = {
    'type': 'KeyChange',
    'key_id': 'a',
    'team': 'rosters',
    'secret_sha256': 'b',
    'withdrawn': True,
    'row_version': 2,
}
MESSAGES = (
    KeyChange('a', 'rosters', 'b', withdrawn=True, row_version=2),
    KeyList((('a', 'rosters', 'b', False, 1),), keys_digest=2**64 - 1),
    Heartbeat(sent_s=1.5, echo_s=2, running_by_team={'rosters': 3}),
)
BAD_PAYLOADS = (
    ('garbage', b'\xc1\xff\x00'),
    ('truncated', msgpack.packb(KEY_FIELDS)[:-3]),
    ('trailing bytes', msgpack.packb(KEY_FIELDS) + b'\x00'),
    ('no map', msgpack.packb([1, 2])),
    ('no type', msgpack.packb({})),
    ('type of another kind', msgpack.packb({'type': ['KeyChange']})),
    ('unknown type', msgpack.packb({**KEY_FIELDS, 'type': 'KeyChangeV2'})),
    ('missing field', msgpack.packb({'type': 'KeyChange', 'key_id': 'a'})),
    ('extra field', msgpack.packb({**KEY_FIELDS, 'note': ''})),
    ('text for a number', msgpack.packb({**KEY_FIELDS, 'row_version': '2'})),
    ('deep nesting', b'\x91' * 5000 + b'\x01'),
    ('many empty maps', b'\xdc\xff\xff' + b'\x80' * 65_535),
    ('bad UTF-8', b'\x81\xa1\xff\x01'),
)


def make_codec() -> MessageCodec:
    """Return a codec with the message types of these tests."""
    codec = MessageCodec()
    for message_type in (KeyChange, KeyList, Heartbeat):
        codec.add_type(message_type)
    return codec


@pytest.mark.parametrize('message', MESSAGES, ids=lambda message: type(message).__name__)
def test_round_trip(message: KeyChange) -> None:
    """A message is unchanged after encoding and decoding."""
    frame = make_codec().encode(message)
    assert FRAME_HEADER.unpack_from(frame) == (len(frame) - FRAME_HEADER.size,)
    assert make_codec().decode(frame[FRAME_HEADER.size :]) == message


@pytest.mark.parametrize(('case', 'payload'), BAD_PAYLOADS)
def test_bad_payload(case: str, payload: bytes) -> None:
    """A malformed payload raises PeerError; it is neither accepted nor a crash."""
    assert len(payload) > CONTAINER_COUNT_LIMIT or case != 'many empty maps'
    with pytest.raises(PeerError):
        make_codec().decode(payload)


def test_oversized_message_is_not_encoded() -> None:
    """A message above the frame limit is not encoded, as every peer would close its stream."""
    with pytest.raises(PeerError, match='too large'):
        make_codec().encode(BundleOffer(1, '', 'x' * FRAME_LIMIT_BYTES))
