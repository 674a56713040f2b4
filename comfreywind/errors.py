"""The exception tree; every error of the project derives from `ComfreywindError`."""

from typing import Any

from comfreywind.exit_status import ExitStatus


class ComfreywindError(Exception):
    """Base class of all errors that the project raises on purpose."""

    exit_status = ExitStatus.FAILURE


class SettingsError(ComfreywindError):
    """A settings file is missing, malformed or holds a value out of range."""

    exit_status = ExitStatus.SETTINGS_ERROR


class BundleError(ComfreywindError):
    """A rule bundle breaks a rule; nothing of it is accepted."""

    exit_status = ExitStatus.BUNDLE_ERROR


class JobRequestError(ComfreywindError):
    """A job that a caller handed in is not valid; nothing of it is accepted."""


class JobIdTakenError(ComfreywindError):
    """A job of that id is stored already and belongs to another team or queue."""


class JobMissingError(ComfreywindError):
    """No job of that id is stored."""

    exit_status = ExitStatus.REFUSED


class OperationRefusedError(ComfreywindError):
    """An operator's request was refused and changed nothing."""

    exit_status = ExitStatus.REFUSED


class PlatformError(ComfreywindError):
    """Base class of errors of the platform's services."""

    exit_status = ExitStatus.UNREACHABLE


class StoreUnavailableError(PlatformError):
    """The store gave no usable answer; a write may or may not have taken effect."""


class StoreRefusedError(StoreUnavailableError):
    """The store refused the call; nothing was done."""


class StoreRejectedError(StoreUnavailableError):
    """The store rejected the content of a call, and would reject it again; nothing was done."""


class HistoryLostError(PlatformError):
    """The store no longer has the changes after the asked version; read the table anew."""


class CallNotPermittedError(PlatformError):
    """The permission for a call ended while it waited to be sent; nothing was done."""


class CallAbandonedError(PlatformError):
    """The answer to a call was lost in an outage; what was asked may or may not have been done."""


class StoreCallLostError(StoreUnavailableError):
    """A call to the store was abandoned, because the store answered one that was sent later."""


class RowsChangedError(PlatformError):
    """A transaction was refused because rows changed; `rows` are those named, as they are now."""

    def __init__(self, rows: tuple[Any, ...]) -> None:
        """Keep the rows."""
        super().__init__(f'rows changed: {[row.key for row in rows]}')
        self.rows = rows


class TargetSilentError(PlatformError):
    """A target gave no usable answer; what was asked may be carried out or not."""


class TargetReplacedError(PlatformError):
    """The target at the address is not the one that was meant; nothing was done."""


class RowConflictError(PlatformError):
    """A transaction was refused because rows changed; nothing was written.

    `conflicts` maps (table, key) to the version now in the table, 0 for a missing row.
    """

    def __init__(self, conflicts: dict[tuple[str, str], int]) -> None:
        """Keep the rows whose versions differ."""
        super().__init__(f'rows changed: {sorted(conflicts)}')
        self.conflicts = conflicts


class VmReplacedError(PlatformError):
    """The VM does not have the incarnation that a call named; nothing was done."""


class ObjectExistsError(PlatformError):
    """An object of that name is in the store already."""


class ObjectMissingError(PlatformError):
    """The store has no object of that name."""


class ListenError(ComfreywindError):
    """An address can't be listened on, for example because it is in use."""

    exit_status = ExitStatus.LISTEN_ERROR


class PeerError(ComfreywindError):
    """A peer stream failed or carried a frame that can't be read."""
