"""Runs the target stand-in: all its executors in one process."""

import trio

from comfreywind.clock import SystemClock
from comfreywind.http.server import serve_app
from comfreywind.logs import configure_logs
from comfreywind.settings.target_stand_in import TargetStandInSettings
from comfreywind.signals import set_on_termination
from comfreywind.stand_ins.connection_limit import ConnectionLimit
from comfreywind.stand_ins.executor_app import ExecutorApp
from comfreywind.stand_ins.run_log import RunLog

GRACEFUL_TIMEOUT_S = 10


async def run_target(settings: TargetStandInSettings) -> None:
    """Serve every executor until the process is told to end.

    The executors share one run log, so that the highest number running at once is exact per team.
    """
    configure_logs(settings.log_format)
    run_log = RunLog()
    clock = SystemClock()
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(set_on_termination, shutdown)
        async with trio.open_nursery() as servers:
            for executor in settings.executors:
                app = ExecutorApp(executor, run_log, clock)
                limit = ConnectionLimit(executor.name, executor.connections, run_log.connections)
                servers.start_soon(
                    serve_app, app, executor.address, shutdown, GRACEFUL_TIMEOUT_S, limit
                )
        nursery.cancel_scope.cancel()
