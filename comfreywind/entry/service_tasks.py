"""Tasks that outlive the request that started them."""

from collections.abc import Awaitable, Callable

import trio


class ServiceTasks:
    """A nursery that stays open for the lifetime of the entry process."""

    def __init__(self) -> None:
        """Start without a nursery; `run` opens it."""
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the nursery open until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def start(self, run_task: Callable[[], Awaitable[None]]) -> None:
        """Run the function in a new task; it must not raise, as that would end the process."""
        if self._nursery is None:
            raise RuntimeError(
                'ServiceTasks.start was called while ServiceTasks.run is not running'
            )
        self._nursery.start_soon(run_task)
