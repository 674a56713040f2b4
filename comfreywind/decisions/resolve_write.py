"""Finds out whether a conditional write whose reply was lost took effect."""

import enum


class WriteOutcome(enum.Enum):
    """What the row, read after the write, shows about the write."""

    APPLIED = enum.auto()
    NOT_APPLIED = enum.auto()
    REFUSED = enum.auto()
    UNKNOWN = enum.auto()


def resolve_write(
    expected_version: int, write_id: str, row_version: int, row_write_id: str
) -> WriteOutcome:
    """Return the outcome, given the row as read after the write; version 0 means a missing row.

    If the row still has the expected version, the write may be delayed and take effect later. The
    caller sends the same write again: both are conditional on the same version, so only one can
    take effect. If the version is one higher, another writer made that change, so the write was
    refused. If it is higher still, the write may have been one of the changes.
    """
    if row_write_id == write_id:
        return WriteOutcome.APPLIED
    if row_version == expected_version:
        return WriteOutcome.NOT_APPLIED
    if row_version == expected_version + 1:
        return WriteOutcome.REFUSED
    return WriteOutcome.UNKNOWN
