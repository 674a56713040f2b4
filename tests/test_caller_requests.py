"""What callers can send: paths, headers, framing, slow and large bodies, idempotency keys."""

import json
import signal
import threading
from collections.abc import Iterator
from urllib.parse import unquote_to_bytes

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bench.caller import CallerReply
from bench.fleet import wait_until
from comfreywind.entry.header_rules import select_request_headers
from comfreywind.entry.queue_path import split_queue_path
from comfreywind.entry.wait_preference import MAX_WAIT_S, read_wait_s
from tests.helpers.fault_fleet import TEAM, FaultFleet, make_fault_plan, read_problem
from tests.helpers.raw_caller import Stopwatch, call_raw, make_request, open_raw, read_to_end

MANY_EXAMPLES = settings(max_examples=200, derandomize=True, deadline=None)
BODY_LIMIT_BYTES = 1_048_576
VISIBLE = st.integers(0x21, 0x7E)
DEFAULT_S = 30.0
FRAMING = 'POST {path} HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {key}\r\n{headers}\r\n{body}'
SHAPES = (
    ('both framings', 'Transfer-Encoding: chunked\r\nContent-Length: 4', '0\r\n\r\n', b'400'),
    ('two lengths', 'Content-Length: 4\r\nContent-Length: 5', 'abcde', b'400'),
    ('length list', 'Content-Length: 4, 5', 'abcde', b'400'),
    ('signed length', 'Content-Length: +4', 'abcd', b'400'),
    ('two codings', 'Transfer-Encoding: gzip, chunked', '0\r\n\r\n', b'501'),
    ('hidden coding', 'Transfer-Encoding : chunked', '0\r\n\r\n', b'400'),
    ('folded header', 'X-A: b\r\n c: d\r\nContent-Length: 0', '', b'200'),
    ('bad chunk', 'Transfer-Encoding: chunked', 'zz\r\nab\r\n0\r\n\r\n', b'400'),
    ('bare line feed', 'X-A: b\nX-Request-ID: x\r\nContent-Length: 0', '', b'200'),
    ('two keys', 'Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0', '', b'400'),
    ('bad key', 'Idempotency-Key: a b\r\nContent-Length: 0', '', b'400'),
)
REQUEST_LINES = (
    ('GET http://other/queues/solo/work HTTP/1.1', b'200'),
    ('GET /queues/s%6Flo/work HTTP/1.1', b'200'),
    ('GET /queues/solo%2Fwork HTTP/1.1', b'404'),
    ('GET /queues/solo%zz/work HTTP/1.1', b'404'),
    ('GET //queues/solo/work HTTP/1.1', b'404'),
    ('OPTIONS * HTTP/1.1', b'404'),
    ('CONNECT solo:80 HTTP/1.1', b'405'),
    ('TRACE /queues/solo/work HTTP/1.1', b'405'),
    ('GET /queues/solo/work HTTP/1.0', b'505'),
)


@pytest.fixture(scope='module')
def callers() -> Iterator[FaultFleet]:
    """Run two entries with the executors."""
    with FaultFleet(make_fault_plan(entries_count=2)) as fleet:
        yield fleet


@MANY_EXAMPLES
@given(queue=st.text(min_size=1, max_size=8), rest=st.lists(VISIBLE, max_size=20).map(bytes))
@example(queue='a/b', rest=b'//evil/%2e%2e/%zz?x')
def test_target_path_is_unchanged(queue: str, rest: bytes) -> None:
    """Guards against a path for the target that starts within the queue's name, or is altered."""
    encoded = ''.join(f'%{byte:02x}' for byte in queue.encode('utf-8', 'replace')).encode()
    path, _, query = (b'/' + rest).partition(b'?')
    for prefix in (b'', b'http://other:1'):
        scope = {'raw_path': prefix + b'/queues/' + encoded + path, 'query_string': query}
        split = split_queue_path(scope)
        assert split is not None
        assert split.queue == unquote_to_bytes(encoded).decode('utf-8', 'replace')
        assert split.target_path == (path + b'?' + query if query else path)


@MANY_EXAMPLES
@given(st.lists(VISIBLE, max_size=30).map(bytes))
def test_any_path(raw_path: bytes) -> None:
    """Guards against a failure, or a path for the target without its slash, for odd paths."""
    split = split_queue_path({'raw_path': raw_path, 'query_string': b''})
    assert split is None or split.target_path.startswith(b'/')


@MANY_EXAMPLES
@given(st.text(st.characters(min_codepoint=0x20, max_codepoint=0xFF), max_size=30))
@example('wait=99999999999999999999')
@example('wait=-1')
@example('respond-async, WAIT = "10"; x')
def test_wait_is_bounded(text: str) -> None:
    """Guards against a wait without a limit, a negative one and a failure to read one."""
    wait_s = read_wait_s([(b'Prefer', text.encode('latin-1'))], DEFAULT_S)
    assert 0 <= wait_s <= MAX_WAIT_S


@pytest.mark.parametrize(
    ('texts', 'expected_s'),
    [
        (['wait=5'], 5),
        (['respond-async, wait=7;x=y'], 7),
        (['respond-async', 'wait=1.5'], 1.5),
        (['wait=3, wait=9'], 3),
        (['wait="4"'], 4),
        (['await=5'], DEFAULT_S),
        (['wait=-5'], DEFAULT_S),
        (['wait=1e9'], DEFAULT_S),
        (['wait=999999999'], MAX_WAIT_S),
        ([], DEFAULT_S),
    ],
)
def test_wait(texts: list[str], expected_s: float) -> None:
    """Guards against a misread preference."""
    headers = [(b'prefer', text.encode()) for text in texts]
    assert read_wait_s(headers, DEFAULT_S) == expected_s


@MANY_EXAMPLES
@given(
    st.lists(st.sampled_from([b'x-a', b'Host', b'TE', b'Upgrade', b'Content-Length', b'Cookie'])),
    st.sampled_from([b'x-a', b'close, Cookie', b' x-a ,', b'']),
)
def test_connection_headers_stay(names: list[bytes], options: bytes) -> None:
    """Guards against headers of one connection, or of the entry, that reach the target."""
    headers = [(name, b'1') for name in names]
    kept = {
        name.lower() for name, _ in select_request_headers([*headers, (b'Connection', options)])
    }
    named = {option.strip().lower() for option in options.split(b',')}
    assert kept <= {b'x-a', b'cookie'} - named


@pytest.mark.parametrize(('name', 'headers', 'body', 'status'), SHAPES)
def test_framing(callers: FaultFleet, name: str, headers: str, body: str, status: bytes) -> None:
    """Guards against requests that two servers would read differently (request smuggling)."""
    request = FRAMING.format(
        path='/queues/solo/work',
        key=callers.keys[TEAM],
        headers=f'Connection: close\r\n{headers}\r\n',
        body=body,
    )
    answer = call_raw(callers.caller_addresses[0], request.encode())
    assert answer[9:12] == status, (name, answer)
    assert answer.count(b'HTTP/1.1 ') <= 1


@pytest.mark.parametrize(('line', 'status'), REQUEST_LINES)
def test_request_line(callers: FaultFleet, line: str, status: bytes) -> None:
    """Guards against odd forms of the request target that reach a target or break the entry."""
    key = callers.keys[TEAM]
    request = f'{line}\r\nHost: e\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\r\n'
    answer = call_raw(callers.caller_addresses[0], request.encode())
    assert answer[9:12] == status, answer
    assert b'comfreywind-outcome: ' in answer


@pytest.mark.parametrize('key', ['', TEAM])
@pytest.mark.parametrize('framing', ['length', 'chunked'])
def test_large_body(callers: FaultFleet, key: str, framing: str) -> None:
    """Guards against a refusal that is lost because the caller is still sending, and a hang."""
    body = b'x' * (4 * BODY_LIMIT_BYTES)
    text = callers.keys.get(key, '')
    request = make_request('/queues/solo/work', text, 'POST', body=body)
    if framing == 'chunked':
        head = make_request('/queues/solo/work', text, 'POST', 'Transfer-Encoding: chunked\r\n')
        request = head + f'{len(body):x}\r\n'.encode() + body + b'\r\n0\r\n\r\n'
    watch = Stopwatch()
    answer = call_raw(callers.caller_addresses[0], request)
    assert answer[9:12] == (b'413' if key else b'401')
    assert b'comfreywind-outcome: not-run' in answer
    assert watch.read_s() < 4


def test_slow_senders(callers: FaultFleet) -> None:
    """Guards against slow senders that keep others waiting, or that are waited for without end."""
    address = callers.caller_addresses[0]
    key = callers.keys[TEAM]
    headers = 'Content-Length: 100\r\nPrefer: wait=1\r\n'
    slow = [open_raw(address) for _ in range(40)]
    for index, connection in enumerate(slow):
        head = make_request('/queues/solo/work', key, 'POST', headers)
        connection.sendall(head[:-20] if index % 2 else head + b'x')
    watch = Stopwatch()
    assert callers.call('solo', 'POST').outcome == 'answered'
    assert watch.read_s() < 1
    assert read_to_end(slow[0])[9:12] == b'408'
    assert watch.read_s() < 5
    for connection in slow:
        connection.close()


def test_same_key_at_once(callers: FaultFleet) -> None:
    """Guards against two runs of one idempotency key that arrives at both entries at once."""
    replies: list[CallerReply] = []

    def call(entry: int) -> None:
        replies.append(
            callers.call(
                'solo', 'POST', 'duration_s=0.3', entry, idempotency_key='once', x_request_id='once'
            )
        )

    threads = [threading.Thread(target=call, args=(index % 2,)) for index in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(reply.status for reply in replies) == [200] + [409] * 5
    assert callers.count_runs('solo', 'once') == 1
    wait_until(lambda: _repeat(callers, 'once').outcome == 'answered', 'the stored outcome')
    other = callers.call('solo', 'POST', 'duration_s=0', 1, idempotency_key='once')
    assert (other.status, read_problem(other)) == (422, 'idempotency-key-reused')


def test_lost_claim_reply(callers: FaultFleet) -> None:
    """Guards against a lost or doubled run when the store loses the reply to the claim."""
    callers.set_platform_faults(lose_replies=1)
    threads = [
        threading.Thread(
            target=callers.call,
            args=('solo', 'POST', '', entry),
            kwargs={'idempotency_key': 'lost', 'x_request_id': 'lost'},
        )
        for entry in (0, 1)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    callers.set_platform_faults()
    assert callers.count_runs('solo', 'lost') == 1


def test_store_down(callers: FaultFleet) -> None:
    """Guards against a run without a claim while the store is down."""
    callers.set_platform_faults(down=True)
    reply = callers.call('solo', 'POST', idempotency_key='down', x_request_id='down')
    callers.set_platform_faults()
    assert (reply.status, reply.outcome) == (503, 'not-run')
    assert reply.headers['retry-after'] == '1'
    assert callers.count_runs('solo', 'down') == 0
    wait_until(lambda: _repeat(callers, 'down').outcome == 'answered', 'a run afterwards')
    assert callers.count_runs('solo', 'down') == 1


def test_entry_killed(callers: FaultFleet) -> None:
    """Guards against a second run of a key whose entry was killed while its request ran."""
    request = make_request(
        '/queues/solo/work?duration_s=3',
        callers.keys[TEAM],
        'POST',
        'Idempotency-Key: "killed"\r\nX-Request-ID: killed\r\n',
    )
    with open_raw(callers.caller_addresses[0]) as caller:
        caller.sendall(request)
        wait_until(lambda: callers.count_runs('solo', 'killed') == 1, 'the run')
        callers.entries[0].send_signal(signal.SIGKILL)
        callers.entries[0].wait()
    reply = _repeat(callers, 'killed', 'duration_s=3', entry=1)
    assert (reply.status, reply.outcome) == (409, 'unknown')
    assert json.loads(reply.body)['retry_after_s'] == 1
    assert callers.count_runs('solo', 'killed') == 1


def _repeat(callers: FaultFleet, key: str, query: str = '', entry: int = 1) -> CallerReply:
    query = 'duration_s=0.3' if key == 'once' else query
    return callers.call('solo', 'POST', query, entry, idempotency_key=key, x_request_id=key)
