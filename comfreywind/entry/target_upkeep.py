"""Drops what is kept about targets that need it no longer."""

import trio

from comfreywind.entry.target_client import TargetClient
from comfreywind.entry.target_health import TargetHealth

INTERVAL_S = 2.0


async def maintain_targets(targets: TargetClient, health: TargetHealth) -> None:
    """Close unused connections and forget missing targets, in a fixed period for ever."""
    while True:
        await trio.sleep(INTERVAL_S)
        targets.close_unused()
        health.forget_missing()
