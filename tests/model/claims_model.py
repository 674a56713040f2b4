"""Model of claims: one claim row, and requests with its idempotency key at different entries."""

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
    get_write_condition,
    is_end_resolved,
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

    `condition` is the row version that the next write is conditional on. `late` is the condition of
    a delayed write that may still take effect at any later time, -1 for none.
    """

    phase: str = 'write'
    condition: int = 0
    late: int = -1


State = tuple[Row, int, tuple[Request, ...]]
Transition = tuple[str, State]


@dataclass(frozen=True, slots=True)
class ClaimRules:
    """The decisions that the model calls; a test replaces one to check that the fault is found."""

    after_write: Callable[[WriteResult], ClaimStep] = decide_after_write
    claim_end: Callable[[Outcome], ClaimEnd] = decide_claim_end


def make_protocol(requests_count: int, rules: ClaimRules) -> Protocol:
    """Return the model with the invariant that at most one of the requests runs."""
    requests = tuple(Request() for _ in range(requests_count))
    return Protocol(
        name='claims',
        candidate=False,
        fields=('row', 'runs', 'requests'),
        initial=(Row(), 0, requests),
        transitions=lambda state: list(_list_transitions(state, rules)),
        invariants={'runs at most once': lambda state: state['runs'] <= 1},
    )


def _list_transitions(state: State, rules: ClaimRules) -> Iterator[Transition]:
    row, runs, requests = state
    for index, request in enumerate(requests):
        name = f'r{index}'
        for label, new_row, new_runs, changed in _list_request_steps(
            name, row, runs, request, rules
        ):
            others = (*requests[:index], changed, *requests[index + 1 :])
            yield f'{name}: {label}', (new_row, new_runs, others)


def _list_request_steps(
    name: str, row: Row, runs: int, request: Request, rules: ClaimRules
) -> Iterator[tuple[str, Row, int, Request]]:
    if request.late >= 0:
        landed = _create_claim(row, name, request.late) or row
        yield 'late write lands', landed, runs, request._replace(late=-1)
    if request.phase in {'done', 'replaced'}:
        return
    yield 'entry is replaced', row, runs, request._replace(phase='replaced')
    if request.phase == 'write':
        yield from _list_write_steps(name, row, runs, request, rules)
    elif request.phase == 'read':
        yield _make_read_step(name, row, runs, request)
    elif request.phase == 'claimed':
        yield 'send', row, runs + 1, request._replace(phase='sent')
        yield 'give up before sending', row, runs, _end_request(request, Outcome.NOT_RUN, rules)
    elif request.phase == 'sent':
        for outcome in (Outcome.ANSWERED, Outcome.UNKNOWN):
            yield f'end {outcome}', row, runs, _end_request(request, outcome, rules)
    else:
        yield from _list_end_steps(name, row, runs, request)


def _list_write_steps(
    name: str, row: Row, runs: int, request: Request, rules: ClaimRules
) -> Iterator[tuple[str, Row, int, Request]]:
    written = _create_claim(row, name, request.condition)
    result = WriteResult.CONFLICT if written is None else WriteResult.DONE
    yield 'write', written or row, runs, _advance(request, rules.after_write(result))
    lost = _advance(request, rules.after_write(WriteResult.LOST))
    yield 'write, reply lost', written or row, runs, lost
    yield 'write delayed', row, runs, lost._replace(late=request.condition)
    yield 'give up in doubt', row, runs, _end_request(request, Outcome.NOT_RUN, rules)


def _make_read_step(
    name: str, row: Row, runs: int, request: Request
) -> tuple[str, Row, int, Request]:
    claim_row = _to_claim_row(row)
    step = decide_after_read(claim_row, name, 'same', 0)
    condition = get_write_condition(claim_row)
    return 'read', row, runs, _advance(request, step)._replace(condition=condition)


def _list_end_steps(
    name: str, row: Row, runs: int, request: Request
) -> Iterator[tuple[str, Row, int, Request]]:
    """Write the end of the claim conditionally on the version just read.

    A lost reply needs no step of its own: the write is then retried, which is the same step again.
    """
    end = ClaimEnd[request.phase]
    if is_end_resolved(end, _to_claim_row(row), name):
        yield 'settled', row, runs, request._replace(phase='done')
        return
    deleted = Row(version=row.version)
    ended = deleted if end is ClaimEnd.RELEASE else row._replace(outcome='known')
    yield 'settle', ended._replace(version=row.version + 1), runs, request


def _end_request(request: Request, outcome: Outcome, rules: ClaimRules) -> Request:
    return request._replace(phase=rules.claim_end(outcome).name)


def _advance(request: Request, step: ClaimStep) -> Request:
    phases = {ClaimStep.RUN: 'claimed', ClaimStep.WRITE: 'write', ClaimStep.READ: 'read'}
    return request._replace(phase=phases.get(step, 'done'))


def _create_claim(row: Row, name: str, condition: int) -> Row | None:
    """Return the row after a write of the claim on this condition, or None for a conflict."""
    version = row.version if row.owner else 0
    return None if condition != version else Row(name, '', row.version + 1)


def _to_claim_row(row: Row) -> ClaimRow | None:
    if not row.owner:
        return None
    outcome = Outcome.ANSWERED if row.outcome else None
    return ClaimRow(row.owner, 'entry', 1, 'same', 1, outcome, row.version)


def _treat_lost_reply_as_success(result: WriteResult) -> ClaimStep:
    return ClaimStep.READ if result is WriteResult.CONFLICT else ClaimStep.RUN


BROKEN_RULES = {
    'a lost reply is taken for success': replace(
        ClaimRules(), after_write=_treat_lost_reply_as_success
    ),
    'a request that may have run releases its claim': replace(
        ClaimRules(), claim_end=lambda _outcome: ClaimEnd.RELEASE
    ),
}
