"""What a caller gets when targets fail, with real processes and their run logs."""

import threading
from collections.abc import Iterator
from typing import Any

import pytest

from bench.caller import CallerReply
from bench.fleet import wait_until
from comfreywind.decisions.ejection import BASE_EJECTION_S, CONSECUTIVE_FAILURES
from tests.helpers.fault_fleet import TEAM, FaultFleet, make_fault_plan, read_problem
from tests.helpers.raw_caller import Stopwatch, call_raw, make_request, open_raw, read_to_end
from tests.helpers.scripted_target import ScriptedTarget

# An immediate answer on a busy machine; far below every deadline in these tests.
AT_ONCE_S = 1.5
# A target that failed is avoided for a second, and is then as likely to be chosen as any other.
LONGEST_GAP_S = 5.0
LARGE = 300_000
HUGE = 16_000_000
MALFORMED_ANSWERS = {
    'no HTTP': b'hello\r\n\r\n',
    'two lengths': b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxy',
    'negative length': b'HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n',
    'bad chunk': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nx\r\n',
    'no length': b'HTTP/1.1 200 OK\r\n\r\nmay be cut',
    'switching': b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    'nothing': b'',
}


@pytest.fixture(scope='module')
def faults() -> Iterator[FaultFleet]:
    """Run one entry and seven executors, each in a process of its own."""
    with FaultFleet(make_fault_plan()) as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def _no_faults_left(faults: FaultFleet) -> Iterator[None]:
    yield
    for process in faults.targets:
        process.thaw()
        if not process.is_running():
            process.start()
    for vm in range(len(faults.vms)):
        wait_until(lambda vm=vm: _accepts_faults(faults, vm), 'a target')  # type: ignore[misc]


@pytest.mark.parametrize('chunks', [1, 3])
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_cut_small_body(faults: FaultFleet, chunks: int, method: str) -> None:
    """Guards against a cut body that is passed on as whole, or stated as not run."""
    faults.set_pool_faults('solo', cut_body_after_bytes=10)
    reply = faults.call('solo', method, f'chunks={chunks}', x_request_id=f'cut-{method}-{chunks}')
    assert (reply.status, reply.outcome, read_problem(reply)) == (502, 'unknown', 'target-failed')
    assert ('retry-after' in reply.headers) == (method == 'GET')
    assert faults.count_runs('solo', f'cut-{method}-{chunks}') == 1


@pytest.mark.parametrize('chunks', [1, 3])
def test_cut_large_body(faults: FaultFleet, chunks: int) -> None:
    """Guards against an end of the body after a cut, which would make it look complete."""
    faults.set_pool_faults('solo', cut_body_after_bytes=LARGE // 2)
    path = f'/queues/solo/work?bytes={LARGE}&chunks={chunks}'
    answer = call_raw(faults.caller_addresses[0], make_request(path, faults.keys[TEAM]))
    head, _, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    assert LARGE // 2 <= len(body) < LARGE
    if chunks == 1:
        assert b'content-length: 300' in head.lower()
    else:
        assert b'transfer-encoding: chunked' in head.lower()
        assert not body.endswith(b'0\r\n\r\n')


def test_cut_body_is_retried(faults: FaultFleet) -> None:
    """Guards against giving up an idempotent request while another target can answer it."""
    bad_vm = faults.list_vms('pair')[0]
    faults.set_target_faults(bad_vm, cut_body_after_bytes=10)
    for _ in range(5):
        assert faults.call('pair').outcome == 'answered'
    posts = [faults.call('pair', 'POST', x_request_id=f'post-{index}') for index in range(8)]
    assert {reply.outcome for reply in posts} <= {'answered', 'unknown'}
    for index in range(8):
        assert faults.count_runs('pair', f'post-{index}') == 1


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_refused_connection(faults: FaultFleet, method: str) -> None:
    """Guards against a wrong outcome or a late answer when nothing listens."""
    faults.targets[0].kill()
    watch = Stopwatch()
    reply = faults.call('solo', method)
    assert (reply.status, reply.outcome, read_problem(reply)) == (502, 'not-run', 'target-failed')
    assert reply.headers['retry-after'] == '1'
    assert watch.read_s() < AT_ONCE_S


@pytest.mark.parametrize(('method', 'expected'), [('GET', 'answered'), ('POST', 'unknown')])
def test_killed_while_running(faults: FaultFleet, method: str, expected: str) -> None:
    """Guards against a second run of a POST, or a lost GET, when its target is killed."""
    calls = _CallInThread(faults, 'pair', method, 'duration_s=0.9', x_request_id=f'kill-{method}')
    pair = faults.list_vms('pair')
    wait_until(lambda: faults.count_runs('pair', f'kill-{method}') == 1, 'the run')
    victim = next(vm for vm in pair if faults.read_run_log(vm)['running'].get(TEAM))
    survivor = next(vm for vm in pair if vm != victim)
    faults.targets[victim].kill()
    reply = calls.wait()
    assert reply.outcome == expected
    runs = faults.read_run_log(survivor)['runs'].get(f'kill-{method}', 0)
    assert runs == (1 if method == 'GET' else 0)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_frozen_target(faults: FaultFleet, method: str) -> None:
    """Guards against a request that outlives its deadline, or is called not run."""
    faults.targets[0].freeze()
    watch = Stopwatch()
    reply = faults.call('solo', method, prefer='wait=1')
    assert (reply.status, reply.outcome, read_problem(reply)) == (504, 'unknown', 'target-timeout')
    assert 1 <= watch.read_s() < 1 + AT_ONCE_S


def test_slow_target(faults: FaultFleet) -> None:
    """Guards against work that goes on after the caller's deadline, beside the next work."""
    reply = faults.call('solo', 'POST', 'duration_s=5', x_request_id='slow', prefer='wait=0.5')
    assert (reply.status, reply.outcome) == (504, 'unknown')
    assert 'retry-after' not in reply.headers
    wait_until(lambda: faults.count_running('solo') == 0, 'the end of the run', AT_ONCE_S)
    assert faults.count_runs('solo', 'slow') == 1


def test_slow_body(faults: FaultFleet) -> None:
    """Guards against an answer that is still sent at a trickle after the deadline."""
    path = f'/queues/solo/work?bytes={LARGE}&chunks=10&pause_s=0.3'
    request = make_request(path, faults.keys[TEAM], headers='Prefer: wait=1\r\n')
    watch = Stopwatch()
    answer = call_raw(faults.caller_addresses[0], request)
    assert answer.startswith(b'HTTP/1.1 200')
    assert not answer.endswith(b'0\r\n\r\n')
    assert watch.read_s() < 1 + AT_ONCE_S


@pytest.mark.parametrize('wait', ['0', '0.0', '00000'])
def test_no_time_to_wait(faults: FaultFleet, wait: str) -> None:
    """Guards against a request without any time left that still reaches a target."""
    reply = faults.call('solo', 'POST', x_request_id='no-time', prefer=f'wait={wait}')
    assert (reply.status, reply.outcome) == (503, 'not-run')
    assert faults.count_runs('solo', 'no-time') == 0


def test_malformed_answers(faults: FaultFleet) -> None:
    """Guards against an entry that fails, hangs or passes on what is no whole HTTP answer."""
    with ScriptedTarget(b'') as target:
        _list_instead(faults, 'solo', target.address, 'scripted')
        for name, target.answer in MALFORMED_ANSWERS.items():
            target.requests_count = 0
            reply = faults.call('solo', 'POST')
            assert (name, reply.status, reply.outcome) == (name, 502, 'unknown')
            assert (name, target.requests_count) == (name, 1)
    _list_instead(faults, 'solo', str(faults.vms[0]['address']), 'solo-0')
    assert faults.call('solo').outcome == 'answered'


def test_silent_connections(faults: FaultFleet) -> None:
    """Guards against idempotent requests that hang, or an ejection, when connections go silent."""
    assert faults.call('solo').outcome == 'answered'
    faults.set_target_faults(0, silence_open_connections=True)
    watch = Stopwatch()
    reply = faults.call('solo', x_request_id='silent')
    assert reply.outcome == 'answered'
    assert 1 <= watch.read_s() < 1 + AT_ONCE_S
    assert faults.count_runs('solo', 'silent') == 1
    again = Stopwatch()
    assert [faults.call('solo', 'POST').outcome for _ in range(8)] == ['answered'] * 8
    assert again.read_s() < AT_ONCE_S


def test_silent_post_is_not_repeated(faults: FaultFleet) -> None:
    """Guards against a repeat of a POST whose connection went silent."""
    assert faults.call('solo').outcome == 'answered'
    faults.set_target_faults(0, silence_open_connections=True)
    reply = faults.call('solo', 'POST', x_request_id='silent-post', prefer='wait=2')
    assert (reply.status, reply.outcome) == (504, 'unknown')
    assert faults.call('solo', 'POST').outcome == 'answered'
    assert faults.count_runs('solo', 'silent-post') == 0


def test_ejection(faults: FaultFleet) -> None:
    """Guards against a target that fails everything and attracts work by being fast.

    Failures in a row are a second apart, because a target that has just failed is avoided, so the
    ejection comes after a time and not after a number of calls.
    """
    bad_vm = faults.list_vms('crossings')[0]
    faults.set_target_faults(bad_vm, fail_all=True)
    statuses: list[int] = []
    watch = Stopwatch()
    while statuses.count(500) < CONSECUTIVE_FAILURES:
        assert watch.read_s() < CONSECUTIVE_FAILURES * LONGEST_GAP_S
        statuses.append(faults.call('crossings', 'POST').status)
    assert set(statuses) == {200, 500}
    ejected = Stopwatch()
    later: list[int] = []
    while ejected.read_s() < BASE_EJECTION_S - AT_ONCE_S:
        later.append(faults.call('crossings', 'POST').status)
    assert set(later) == {200}
    for vm in faults.list_vms('crossings'):
        faults.set_target_faults(vm, fail_all=True)
    wait_until(lambda: faults.call('crossings', 'POST').status == 500, 'a failure')
    assert {faults.call('crossings', 'POST').status for _ in range(30)} == {500}


def test_disconnect_frees_place(faults: FaultFleet) -> None:
    """Guards against units and slots that stay taken after the caller has gone."""
    request = make_request('/queues/solo/work?duration_s=7', faults.keys[TEAM], 'POST')
    callers = [open_raw(faults.caller_addresses[0]) for _ in range(8)]
    for caller in callers:
        caller.sendall(request)
    wait_until(lambda: faults.count_running('solo') == 8, 'all slots taken')
    for caller in callers:
        caller.close()
    watch = Stopwatch()
    assert faults.call('solo', 'POST', prefer='wait=5').outcome == 'answered'
    assert watch.read_s() < AT_ONCE_S
    wait_until(lambda: faults.count_running('solo') == 0, 'the end of the runs', AT_ONCE_S)


@pytest.mark.parametrize('chunks', [1, 50])
def test_large_answer_is_whole(faults: FaultFleet, chunks: int) -> None:
    """Guards against an answer without its end, and a connection left open after it."""
    path = f'/queues/solo/work?bytes={HUGE}&chunks={chunks}'
    answer = call_raw(faults.caller_addresses[0], make_request(path, faults.keys[TEAM]))
    assert answer.count(b'x' * 1000) == HUGE // 1000 or answer.endswith(b'0\r\n\r\n')
    assert len(answer) > HUGE


def test_caller_that_stops_reading(faults: FaultFleet) -> None:
    """Guards against a place held beyond the deadline by a caller that takes no answer."""
    request = make_request(
        f'/queues/solo/work?bytes={HUGE}', faults.keys[TEAM], headers='Prefer: wait=1\r\n'
    )
    callers = [open_raw(faults.caller_addresses[0]) for _ in range(8)]
    for caller in callers:
        caller.sendall(request)
    wait_until(lambda: sum(faults.read_run_log(0)['runs'].values()) >= 8, 'the runs')
    watch = Stopwatch()
    assert faults.call('solo', 'POST', prefer='wait=5').outcome == 'answered'
    assert watch.read_s() < 1 + AT_ONCE_S
    for caller in callers:
        assert len(read_to_end(caller)) < HUGE
        caller.close()


def _accepts_faults(faults: FaultFleet, vm: int) -> bool:
    try:
        faults.set_target_faults(vm)
    except Exception:
        return False
    return True


def _list_instead(faults: FaultFleet, pool: str, address: str, name: str) -> None:
    """Let the VM list name another VM for the pool, and wait until the entry knows it."""
    others = [vm for vm in faults.vms if vm['pool'] != pool]
    faults.set_vms([*others, {**faults.vms[0], 'name': name, 'address': address}])

    def knows() -> bool:
        vms = faults.call_operator('GET', '/v1/vms')['vms']
        return [vm['name'] for vm in vms if vm['pool'] == pool] == [name]

    wait_until(knows, f'the VM {name}')


class _CallInThread:
    def __init__(self, faults: FaultFleet, *args: Any, **headers: str) -> None:
        self._reply: CallerReply | None = None

        def run() -> None:
            self._reply = faults.call(*args, **headers)

        self._thread = threading.Thread(target=run)
        self._thread.start()

    def wait(self) -> CallerReply:
        self._thread.join()
        assert self._reply is not None
        return self._reply
