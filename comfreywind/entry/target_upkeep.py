"""Periodic cleanup of connections and health records of targets."""

import trio

from comfreywind.entry.target_client import TargetClient
from comfreywind.entry.target_health import TargetHealth

CLEANUP_INTERVAL_S = 2.0


async def maintain_targets(targets: TargetClient, health: TargetHealth) -> None:
    """Remove unused connections and outdated health records periodically until cancelled."""
    while True:
        await trio.sleep(CLEANUP_INTERVAL_S)
        targets.close_unused()
        health.remove_outdated_records()
