"""Turns termination signals into an event."""

import signal

import trio


async def set_on_termination(
    event: trio.Event, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Set the event at the first SIGTERM or SIGINT; later ones change nothing."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            event.set()
