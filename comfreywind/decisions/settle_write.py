"""What became of a conditional write whose reply was lost."""

import enum


class WriteOutcome(enum.Enum):
    """What the row tells about the write."""

    APPLIED = enum.auto()
    NOT_APPLIED = enum.auto()
    REFUSED = enum.auto()
    UNKNOWN = enum.auto()


def settle_write(
    expected_version: int, write_id: str, row_version: int, row_write_id: str
) -> WriteOutcome:
    """Return the outcome, given the row as read after the write; version 0 is a missing row.

    A row with its expected version may still be changed by the write if that is delayed on its way,
    so the same write is sent again: both have the same condition, and only one can take effect. A
    row that has moved on by one version was changed by someone else. When it has moved further, the
    write may have been one of the changes.
    """
    if row_write_id == write_id:
        return WriteOutcome.APPLIED
    if row_version == expected_version:
        return WriteOutcome.NOT_APPLIED
    if row_version == expected_version + 1:
        return WriteOutcome.REFUSED
    return WriteOutcome.UNKNOWN
