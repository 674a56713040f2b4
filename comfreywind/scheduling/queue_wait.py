"""How long work handed in now would wait, by queue and team, as the row of the term carries it."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgpack

from comfreywind.jobs.resources import Resources
from comfreywind.jobs.row_format import ROW_ERRORS

# The name under which time and rules version are stored; no queue has an empty name.
HEADER_NAME = ''
# Leaves the row of the term under 400 bytes with the counts of pending jobs of 8 queues. The waits
# that are least likely to lead to a refusal are left out.
PACKED_LIMIT_BYTES = 200
# Figures that are older are not used.
AGE_LIMIT_S = 2.0
# Before the pairs of team and wait.
QUEUE_FIELDS = 3
LARGEST_NUMBER = 65_535
TENTHS_PER_S = 10
MILLICORES_PER_CORE = 1000
MB_PER_GB = 1024
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class QueueWait:
    """The wait of a queue whose pool has more work than it can do soon.

    `total_s` is how long the pool takes for all work that goes before or with that of the queue.
    `team_waits_s` are the waits of teams beyond their share; others need not wait for long.
    `capacity` is what the pool has for jobs that end.
    """

    total_s: float
    capacity: Resources
    team_waits_s: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PublishedWaits:
    """The waits by queue; they cover all jobs that the holder knew `age_s` ago."""

    waits: Mapping[str, QueueWait]
    age_s: float


def pack_waits(
    waits: Mapping[str, QueueWait], teams: Iterable[str], rules_version: int, taken_ms: float
) -> dict[str, list[int]]:
    """Return the longest waits in a form that fits into the row of the term.

    Teams are packed as their position among the names of all teams in order, which readers resolve
    by the same version of the rules. Nodes of earlier versions read any map with names as keys.
    """
    numbers = {team: number for number, team in enumerate(_list_names(teams))}
    packed = {HEADER_NAME: [int(taken_ms), rules_version]}
    ranked = sorted(
        (-wait_s, queue, team)
        for queue, wait in waits.items()
        for team, wait_s in wait.team_waits_s.items()
        if team in numbers
    )
    for negative_wait_s, queue, team in ranked:
        entry = packed.get(queue) or _pack_queue(waits[queue])
        packed[queue] = [*entry, numbers[team], _bound(-negative_wait_s * TENTHS_PER_S)]
        if len(msgpack.packb(packed)) > PACKED_LIMIT_BYTES:
            packed[queue] = entry
            break
    told = {queue: entry for queue, entry in packed.items() if len(entry) > QUEUE_FIELDS}
    return {HEADER_NAME: packed[HEADER_NAME], **told} if told else {}


def unpack_waits(
    packed: Mapping[str, Sequence[int]], teams: Iterable[str], rules_version: int, now_ms: float
) -> PublishedWaits | None:
    """Return the waits, or None without any that are recent and fit to the rules.

    `now_ms` is the latest time that the clock of the store may show now. A form that can't be read
    counts as none.
    """
    try:
        return _unpack_recent(packed, _list_names(teams), rules_version, now_ms)
    except ROW_ERRORS:
        return None


def _unpack_recent(
    packed: Mapping[str, Sequence[int]], names: Sequence[str], rules_version: int, now_ms: float
) -> PublishedWaits | None:
    taken_ms, packed_version = packed[HEADER_NAME]
    age_s = (now_ms - taken_ms) / MS_PER_S
    if packed_version != rules_version or not 0 <= age_s <= AGE_LIMIT_S:
        return None
    waits = {queue: _unpack_queue(entry, names) for queue, entry in packed.items() if queue}
    return PublishedWaits(waits, age_s)


def _list_names(teams: Iterable[str]) -> list[str]:
    """Return the names of all teams in order, with the empty one of callers without a key."""
    return sorted({'', *teams})


def _pack_queue(wait: QueueWait) -> list[int]:
    return [
        _bound(wait.total_s * TENTHS_PER_S),
        _bound(wait.capacity.cpu_millicores // MILLICORES_PER_CORE),
        _bound(wait.capacity.memory_mb // MB_PER_GB),
    ]


def _bound(amount: float) -> int:
    """Return a number that takes three bytes; callers may declare any run time."""
    return min(int(amount), LARGEST_NUMBER)


def _unpack_queue(entry: Sequence[int], names: Sequence[str]) -> QueueWait:
    total, cores, memory_gb, *pairs = entry
    team_waits_s = {
        names[number]: wait / TENTHS_PER_S
        for number, wait in zip(pairs[::2], pairs[1::2], strict=True)
    }
    capacity = Resources(cores * MILLICORES_PER_CORE, memory_gb * MB_PER_GB)
    return QueueWait(total / TENTHS_PER_S, capacity, team_waits_s)
