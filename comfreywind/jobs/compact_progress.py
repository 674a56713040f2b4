"""Encodes the progress of a large job as a compressed row, and decodes it.

The tasks that are done are a bitmap for each step of each occurrence, as their records in the plain
format take six bytes a task.
"""

import zlib
from typing import Any

import msgpack

from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress import Progress

COMPACT_FORMAT_VERSION = 2
# The holder writes such a row up to 25 times a second; higher levels take much longer.
COMPRESSION_LEVEL = 1
# A row of the largest job has less than this. It bounds the memory for a row that isn't ours.
UNPACKED_LIMIT_BYTES = 32 * 1024 * 1024

Task = tuple[int, int, int]


def encode_compact(progress: Progress) -> bytes:
    """Return the row of a job's progress in the compact format."""
    fields = [
        _encode_done(progress.done),
        [[*task, *sorted(runs)] for task, runs in sorted(progress.failures.items())],
        [[*task, text] for task, text in sorted(progress.checkpoints.items())],
        [[*task, count] for task, count in sorted(progress.crashes.items())],
    ]
    packed = zlib.compress(msgpack.packb(fields), COMPRESSION_LEVEL)
    row: bytes = msgpack.packb([COMPACT_FORMAT_VERSION, progress.state.value, packed])
    return row


def decode_compact(state: str, packed: bytes) -> Progress:
    """Return the progress in the fields of a row; raise ValueError or TypeError if it can't be read."""
    done, failures, checkpoints, crashes = msgpack.unpackb(_decompress(packed))
    return Progress(
        JobState(state),
        _decode_done(done),
        {_read_task(row): set(row[3:]) for row in failures},
        {_read_task(row): row[3] for row in checkpoints},
        {_read_task(row): int(row[3]) for row in crashes},
    )


def _decompress(packed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(packed, UNPACKED_LIMIT_BYTES)
    except zlib.error as error:
        raise ValueError(f'compressed fields of a row: {error}') from error
    if not decompressor.eof:
        raise ValueError('compressed fields of a row are incomplete or too long')
    return unpacked


def _encode_done(done: set[Task]) -> list[list[Any]]:
    bits_by_step: dict[tuple[int, int], int] = {}
    for occurrence, step, number in done:
        bits = bits_by_step.get((occurrence, step), 0)
        bits_by_step[occurrence, step] = bits | 1 << number
    return [
        [*step_key, bits.to_bytes((bits.bit_length() + 7) // 8, 'little')]
        for step_key, bits in sorted(bits_by_step.items())
    ]


def _decode_done(groups: list[list[Any]]) -> set[Task]:
    done: set[Task] = set()
    for occurrence, step, bitmap in groups:
        bits = f'{int.from_bytes(bitmap, "little"):b}'
        done.update(
            (occurrence, step, number) for number, bit in enumerate(reversed(bits)) if bit == '1'
        )
    return done


def _read_task(row: list[Any]) -> Task:
    return (row[0], row[1], row[2])
