"""Model of claims: requests with one key, sent through different entries, and the claim row."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

from comfreywind.decisions.claim import (
    ClaimEnd,
    ClaimRow,
    ClaimStep,
    WriteResult,
    decide_after_read,
    decide_after_write,
    decide_claim_end,
    find_write_condition,
    is_end_settled,
)
from comfreywind.decisions.refusal import Outcome

NOBODY = ''


class Row(NamedTuple):
    """The claim row; a deleted row has no owner and keeps its version."""

    owner: str = NOBODY
    outcome: str = ''
    version: int = 0


class Request(NamedTuple):
    """A request at its entry.

    `condition` is the version for the next write, `late` that of a write whose reply is lost and
    which may still take effect at any later time (-1 for none).
    """

    phase: str = 'write'
    condition: int = 0
    late: int = -1


State = tuple[Row, int, tuple[Request, ...]]
Move = tuple[str, State]


@dataclass(frozen=True, slots=True)
class ClaimRules:
    """The decisions that the model calls; a test replaces one to see that the check finds it."""

    after_write: Callable[[WriteResult], ClaimStep] = decide_after_write
    claim_end: Callable[[Outcome], ClaimEnd] = decide_claim_end


def make_protocol(requests_count: int, rules: ClaimRules) -> Protocol:
    """Return the protocol with the invariant that at most one of the requests runs."""
    requests = tuple(Request() for _ in range(requests_count))
    return Protocol(
        name='claims',
        candidate=False,
        fields=('row', 'runs', 'requests'),
        initial=(Row(), 0, requests),
        transitions=lambda state: list(_list_moves(state, rules)),
        invariants={'runs at most once': lambda state: state['runs'] <= 1},
    )


def _list_moves(state: State, rules: ClaimRules) -> Iterator[Move]:
    row, runs, requests = state
    for index, request in enumerate(requests):
        name = f'r{index}'
        for label, new_row, new_runs, changed in _move(name, row, runs, request, rules):
            others = (*requests[:index], changed, *requests[index + 1 :])
            yield f'{name}: {label}', (new_row, new_runs, others)


def _move(
    name: str, row: Row, runs: int, request: Request, rules: ClaimRules
) -> Iterator[tuple[str, Row, int, Request]]:
    if request.late >= 0:
        landed = _create(row, name, request.late) or row
        yield 'late write lands', landed, runs, request._replace(late=-1)
    if request.phase in {'done', 'replaced'}:
        return
    yield 'entry is replaced', row, runs, request._replace(phase='replaced')
    if request.phase == 'write':
        yield from _write(name, row, runs, request, rules)
    elif request.phase == 'read':
        yield _read(name, row, runs, request)
    elif request.phase == 'claimed':
        yield 'send', row, runs + 1, request._replace(phase='sent')
        yield 'give up before sending', row, runs, _end(request, Outcome.NOT_RUN, rules)
    elif request.phase == 'sent':
        for outcome in (Outcome.ANSWERED, Outcome.UNKNOWN):
            yield f'end {outcome}', row, runs, _end(request, outcome, rules)
    else:
        yield from _settle(name, row, runs, request)


def _write(
    name: str, row: Row, runs: int, request: Request, rules: ClaimRules
) -> Iterator[tuple[str, Row, int, Request]]:
    written = _create(row, name, request.condition)
    result = WriteResult.CONFLICT if written is None else WriteResult.DONE
    yield 'write', written or row, runs, _step(request, rules.after_write(result))
    lost = _step(request, rules.after_write(WriteResult.LOST))
    yield 'write, reply lost', written or row, runs, lost
    yield 'write delayed', row, runs, lost._replace(late=request.condition)
    yield 'give up in doubt', row, runs, _end(request, Outcome.NOT_RUN, rules)


def _read(name: str, row: Row, runs: int, request: Request) -> tuple[str, Row, int, Request]:
    claim_row = _to_claim_row(row)
    step = decide_after_read(claim_row, name, 'same', 0)
    condition = find_write_condition(claim_row)
    return 'read', row, runs, _step(request, step)._replace(condition=condition)


def _settle(
    name: str, row: Row, runs: int, request: Request
) -> Iterator[tuple[str, Row, int, Request]]:
    """Write the end of the claim under the version just read; a lost reply leaves it to a retry."""
    end = ClaimEnd[request.phase]
    if is_end_settled(end, _to_claim_row(row), name):
        yield 'settled', row, runs, request._replace(phase='done')
        return
    deleted = Row(version=row.version)
    ended = deleted if end is ClaimEnd.RELEASE else row._replace(outcome='known')
    yield 'settle', ended._replace(version=row.version + 1), runs, request


def _end(request: Request, outcome: Outcome, rules: ClaimRules) -> Request:
    return request._replace(phase=rules.claim_end(outcome).name)


def _step(request: Request, step: ClaimStep) -> Request:
    phases = {ClaimStep.RUN: 'claimed', ClaimStep.WRITE: 'write', ClaimStep.READ: 'read'}
    return request._replace(phase=phases.get(step, 'done'))


def _create(row: Row, name: str, condition: int) -> Row | None:
    """Return the row after a write under the condition, or None for a conflict."""
    version = row.version if row.owner else 0
    return None if condition != version else Row(name, '', row.version + 1)


def _to_claim_row(row: Row) -> ClaimRow | None:
    if not row.owner:
        return None
    outcome = Outcome.ANSWERED if row.outcome else None
    return ClaimRow(row.owner, 'entry', 1, 'same', 1, outcome, row.version)


def _trust_lost_reply(result: WriteResult) -> ClaimStep:
    return ClaimStep.READ if result is WriteResult.CONFLICT else ClaimStep.RUN


BROKEN_RULES = {
    'a lost reply is taken for success': replace(ClaimRules(), after_write=_trust_lost_reply),
    'a request that may have run releases its claim': replace(
        ClaimRules(), claim_end=lambda _outcome: ClaimEnd.RELEASE
    ),
}
