"""The tasks of one connection."""

from typing import Any

from hypercorn.config import Config
from hypercorn.trio.task_group import TaskGroup
from hypercorn.typing import AppWrapper

from comfreywind.http.request_queue import RequestQueue


class ConnectionTasks(TaskGroup):
    """Hypercorn's tasks of a connection, with a queue of our own between it and the app."""

    async def spawn_app(self, app: AppWrapper, config: Config, scope: Any, send: Any) -> Any:
        """Start the app for one request; return the function that hands it the messages."""
        queue = RequestQueue()

        async def serve(
            app_scope: Any, _: Any, app_send: Any, sync_spawn: Any, call_soon: Any
        ) -> None:
            try:
                await app(app_scope, queue.get, app_send, sync_spawn, call_soon)  # type: ignore[arg-type]
            finally:
                queue.finish()

        await super().spawn_app(serve, config, scope, send)  # type: ignore[arg-type]
        return queue.put
