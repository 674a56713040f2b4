"""The log handler of a node."""

import logging
import os
from collections.abc import Iterator

import pytest

from comfreywind.log_handler import BURST_LINES, BoundedHandler


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Return the reading and the writing end of a pipe."""
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def make_record(text: str) -> logging.LogRecord:
    """Return a record with the text."""
    return logging.LogRecord('part', logging.INFO, '', 0, text, None, None)


def test_burst_is_bounded(pipe: tuple[int, int]) -> None:
    """Guards against logs that take the processor and the link in a burst of failures."""
    handler = BoundedHandler(pipe[1])
    for _ in range(2 * BURST_LINES):
        handler.emit(make_record('x'))
    lines = os.read(pipe[0], 1_000_000).splitlines()
    assert BURST_LINES <= len(lines) < 1.5 * BURST_LINES
    assert handler.dropped
    assert sum(b'dropped before' in line for line in lines) <= len(lines) - BURST_LINES


def test_slow_reader_does_not_block(pipe: tuple[int, int]) -> None:
    """Guards against a request that waits because nobody reads the logs."""
    handler = BoundedHandler(pipe[1])
    for _ in range(40):
        handler.emit(make_record('x' * 4_000))
    assert handler.dropped
    os.read(pipe[0], 1_000_000)
    handler.emit(make_record('after'))
    assert b'dropped before' in os.read(pipe[0], 1_000_000)
