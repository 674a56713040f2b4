"""Decides whether a request is admitted to a queue."""

from dataclasses import dataclass

from comfreywind.bundle.rules import QueueRules, Rules
from comfreywind.decisions.keys import TeamKey, authenticate_team
from comfreywind.decisions.refusal import Refusal, RefusalReason


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The fields of a request that admission depends on; a missing header is an empty string."""

    queue: str
    authorization: str
    named_team: str


@dataclass(frozen=True, slots=True)
class Admission:
    """An admitted request: its queue and the team that it is charged to."""

    queue: QueueRules
    team: str


def admit_request(
    request: AdmissionRequest, rules: Rules, keys: dict[str, TeamKey]
) -> Admission | Refusal:
    """Return the admission, or a refusal if the key or team may not use the queue."""
    queue = rules.queues.get(request.queue)
    if queue is None:
        return Refusal(RefusalReason.QUEUE_UNKNOWN, f'no queue is named {request.queue!r}')
    if not request.authorization:
        return _admit_without_key(queue)
    team = authenticate_team(keys, request.authorization)
    if team is None:
        return Refusal(RefusalReason.KEY_UNKNOWN, 'the key is not known or was withdrawn')
    return _admit_team(request, queue, team, team in rules.teams)


def _admit_team(
    request: AdmissionRequest, queue: QueueRules, team: str, is_known_team: bool
) -> Admission | Refusal:
    if request.named_team not in {'', team}:
        return Refusal(RefusalReason.TEAM_MISMATCH, f'the key is not of {request.named_team!r}')
    if not is_known_team or not (queue.open or team in queue.teams):
        return Refusal(RefusalReason.QUEUE_NOT_ALLOWED, f'{team!r} may not use {queue.name!r}')
    return Admission(queue, team)


def _admit_without_key(queue: QueueRules) -> Admission | Refusal:
    if not queue.open or queue.open_team is None:
        return Refusal(RefusalReason.KEY_MISSING, f'queue {queue.name!r} needs a key')
    return Admission(queue, queue.open_team)
