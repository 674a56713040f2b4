"""What the reports of a target have shown to this holder."""

import enum


class KnownRuns(enum.IntEnum):
    """Which runs of a target are known, in the order in which a holder learns of them.

    After ACTIVE, all active runs are known, while others may have ended that no report has listed.
    """

    NONE = 0
    ACTIVE = 1
    ALL = 2
