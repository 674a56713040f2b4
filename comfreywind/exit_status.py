"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """What the process tells its caller when it ends."""

    SUCCESS = 0
    FAILURE = 1
    USAGE_ERROR = 2
    SETTINGS_ERROR = 3
    BUNDLE_ERROR = 4
    UNREACHABLE = 5
    REFUSED = 6
    LISTEN_ERROR = 7
    INTERRUPTED = 130
