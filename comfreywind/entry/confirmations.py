"""Waits until the other members confirm that a change is in force."""

from collections.abc import Callable

import trio

from comfreywind.clock import Clock
from comfreywind.entry.rules_view import RulesView
from comfreywind.peers.messages.heartbeat import Heartbeat
from comfreywind.peers.peer_hub import PeerHub

POLL_INTERVAL_S = 0.02
ConfirmationLists = dict[str, list[str]]
IsConfirmed = Callable[[Heartbeat], bool]


class Confirmations:
    """Reads from the heartbeats which members have a change in force."""

    def __init__(self, hub: PeerHub, rules_view: RulesView, clock: Clock, wait_s: float) -> None:
        """Let each wait take at most `wait_s` seconds."""
        self._hub = hub
        self._rules_view = rules_view
        self._clock = clock
        self._wait_s = wait_s

    async def wait_for_bundle(self, version: int) -> ConfirmationLists:
        """Return which other members have confirmed this or a higher version, and which haven't."""
        return await self._wait(lambda heartbeat: heartbeat.bundle_version >= version)

    async def wait_for_keys(self) -> ConfirmationLists:
        """Return which other members have confirmed the keys known here, and which have not.

        Another change of a key during the wait changes the digest, so a member counts as soon as it
        reports any digest that this entry has had since the start of the wait.
        """
        digests = set()

        def has_keys(heartbeat: Heartbeat) -> bool:
            digests.add(self._rules_view.keys_digest)
            return heartbeat.keys_digest in digests

        return await self._wait(has_keys)

    async def _wait(self, is_confirmed: IsConfirmed) -> ConfirmationLists:
        deadline_s = self._clock.read_monotonic_s() + self._wait_s
        confirmed: set[str] = set()
        while True:
            confirmed |= self._collect_confirmed(is_confirmed)
            missing = set(self._hub.list_members()) - confirmed
            if not missing or self._clock.read_monotonic_s() >= deadline_s:
                return {'confirmed': sorted(confirmed), 'unconfirmed': sorted(missing)}
            await trio.sleep(POLL_INTERVAL_S)

    def _collect_confirmed(self, is_confirmed: IsConfirmed) -> set[str]:
        members = self._hub.list_members()
        return {
            state.identity.name
            for state in self._hub.list_states()
            if state.identity.name in members
            and state.heartbeat is not None
            and is_confirmed(state.heartbeat)
        }
