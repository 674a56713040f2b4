"""The whole path with real processes: caller, entry, target and back."""

import json

import pytest

from bench.caller import call_entry
from bench.fleet import Fleet

REFUSAL_CASES = (
    ('/queues/rebuild/work', '', 401, 'key-missing'),
    ('/queues/rebuild/work', 'cfw_000000_wrong', 401, 'key-unknown'),
    ('/queues/rebuild/work', 'public', 403, 'queue-not-allowed'),
    ('/queues/no-such-queue/work', 'rosters', 404, 'queue-unknown'),
    ('/elsewhere', 'rosters', 404, 'queue-unknown'),
)


def test_answer_is_whole(fleet: Fleet) -> None:
    """Guards against lost or altered parts of the answer, of any size."""
    for padding_bytes in (0, 1, 65_536, 1_000_000):
        path = f'/queues/rebuild/work?bytes={padding_bytes}&chunks=7'
        reply = call_entry(fleet.caller_addresses[0], path, fleet.keys['rosters'])
        head, _, padding = reply.body.partition(b'\n')
        assert reply.outcome == 'answered'
        assert json.loads(head)['team'] == 'rosters'
        assert padding == b'x' * padding_bytes


@pytest.mark.parametrize(('path', 'key', 'status', 'problem'), REFUSAL_CASES)
def test_refusals(fleet: Fleet, path: str, key: str, status: int, problem: str) -> None:
    """Guards against work accepted without the right key, and refusals without a reason."""
    reply = call_entry(fleet.caller_addresses[0], path, fleet.keys.get(key, key))
    assert reply.status == status
    assert reply.outcome == 'not-run'
    assert json.loads(reply.body)['type'] == f'urn:comfreywind:problem:{problem}'
