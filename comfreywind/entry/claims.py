"""Claims of idempotency keys: at most one run of each key in the whole fleet."""

import uuid
from functools import partial
from typing import Any

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.claim import (
    ClaimEnd,
    ClaimRow,
    ClaimStep,
    WriteResult,
    decide_after_read,
    decide_after_write,
    decide_claim_end,
    get_write_condition,
    is_end_resolved,
)
from comfreywind.decisions.refusal import Outcome, Refusal, RefusalReason
from comfreywind.entry.claim import Claim
from comfreywind.entry.claim_asker import ClaimAsker
from comfreywind.entry.grouped_writer import GroupedWriter
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.entry.service_tasks import ServiceTasks
from comfreywind.errors import StoreUnavailableError
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.platform.row import Row
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import TABLE_CLAIMS

# Enough for one lost reply and the read after it; a longer outage is stated to the caller at once.
CLAIM_WAIT_S = 5.0
RETRY_PAUSE_S = 0.2
SETTLE_PAUSE_S = 1.0
DRAIN_POLL_S = 0.05
RETRY_AFTER_S = 1.0


class Claims:
    """Claims keys in grouped transactions and writes their outcomes afterwards."""

    def __init__(
        self,
        tables: TableClient,
        identity: PeerIdentity,
        services: ServiceTasks,
        clock: Clock,
        retention_s: float,
        hub: PeerHub | None = None,
    ) -> None:
        """Use the given parts; without a hub no other entry is asked about its claims."""
        self._tables = tables
        self._identity = identity
        self._services = services
        self._clock = clock
        self._retention_s = retention_s
        self._writer = GroupedWriter(tables)
        self._held: dict[str, Claim] = {}
        self._asker = None if hub is None else ClaimAsker(hub, self.get_outcome)

    async def run(self) -> None:
        """Send the grouped writes for ever."""
        await self._writer.run()

    async def claim(self, row_key: str, fingerprint: str, wait_s: float) -> Claim:
        """Return the claim of the key; raise RefusalError when it is taken or can't be made."""
        now_s = self._clock.read_utc().timestamp()
        claim = Claim(row_key, uuid.uuid4().hex, fingerprint, now_s)
        self._held[claim.claim_id] = claim
        refusal: Refusal | None = None
        claimed = False
        try:
            with trio.move_on_after(min(wait_s, CLAIM_WAIT_S)):
                refusal = await self._make(claim)
                claimed = refusal is None
        finally:
            if not claimed:
                self._give_up(claim, sent=refusal is None)
        if not claimed:
            raise RefusalError(refusal or _make_unavailable())
        return claim

    async def drain(self, timeout_s: float) -> None:
        """Wait until all ends of claims are written, but not longer than the timeout."""
        with trio.move_on_after(timeout_s):
            while self._held:
                await trio.sleep(DRAIN_POLL_S)

    def finish(self, claim: Claim, outcome: Outcome) -> None:
        """Release the claim of a request that has not run, or write its outcome, in background."""
        claim.outcome = outcome
        self._services.start(partial(self._settle, claim))

    def get_outcome(self, claim_id: str) -> Outcome | None:
        """Return the outcome of a claim held here, or None while it runs or is not known."""
        claim = self._held.get(claim_id)
        return None if claim is None else claim.outcome

    async def _make(self, claim: Claim) -> Refusal | None:
        """Return None once the claim is valid, or the refusal."""
        row: ClaimRow | None = None
        step = ClaimStep.WRITE
        while True:
            if step is ClaimStep.WRITE:
                condition = get_write_condition(row)
                step = decide_after_write(await self._write(claim, condition))
            elif step is ClaimStep.READ:
                row = await self._read_until_answered(claim)
                step = self._decide_after_read(claim, row)
                claim.version = None if row is None else row.version
            else:
                return await self._conclude(claim, step, row)

    def _decide_after_read(self, claim: Claim, row: ClaimRow | None) -> ClaimStep:
        oldest_s = self._clock.read_utc().timestamp() - self._retention_s
        return decide_after_read(row, claim.claim_id, claim.fingerprint, oldest_s)

    async def _conclude(
        self, claim: Claim, step: ClaimStep, row: ClaimRow | None
    ) -> Refusal | None:
        if step is ClaimStep.REJECT_OTHER_REQUEST:
            return Refusal(
                RefusalReason.KEY_REUSED, 'the key came with another method, path or body'
            )
        if row is None or step is ClaimStep.RUN:
            return None
        outcome = row.outcome or await self._ask_owner(row)
        return Refusal(
            RefusalReason.CLAIM_EXISTS,
            f'the key was claimed by {row.entry}',
            outcome or Outcome.UNKNOWN,
            retry_after_s=RETRY_AFTER_S if outcome in {None, Outcome.NOT_RUN} else None,
        )

    async def _ask_owner(self, row: ClaimRow) -> Outcome | None:
        if row.entry == self._identity.name:
            return self.get_outcome(row.claim_id)
        return None if self._asker is None else await self._asker.ask(row)

    def _give_up(self, claim: Claim, sent: bool) -> None:
        if sent:
            self.finish(claim, Outcome.NOT_RUN)
        else:
            del self._held[claim.claim_id]

    async def _settle(self, claim: Claim) -> None:
        """Write the end of the claim until the row shows it."""
        end = decide_claim_end(claim.outcome or Outcome.UNKNOWN)
        while not await self._try_settle(claim, end):
            await trio.sleep(SETTLE_PAUSE_S)
        del self._held[claim.claim_id]

    async def _try_settle(self, claim: Claim, end: ClaimEnd) -> bool:
        try:
            version = claim.version or await self._find_version(claim, end)
        except StoreUnavailableError:
            return False
        if version is None:
            return True
        keep = end is ClaimEnd.WRITE_OUTCOME
        write = RowWrite(
            TABLE_CLAIMS, claim.row_key, version, self._make_fields(claim) if keep else None
        )
        ending, _ = await self._writer.write(write)
        # The version is in doubt now; the next try reads the row.
        claim.version = None
        return ending is WriteResult.DONE

    async def _find_version(self, claim: Claim, end: ClaimEnd) -> int | None:
        await self._writer.wait_for_flight()
        row = await self._read(claim)
        if row is None or is_end_resolved(end, row, claim.claim_id):
            return None
        return row.version

    async def _write(self, claim: Claim, condition: int) -> WriteResult:
        fields = self._make_fields(claim)
        write = RowWrite(TABLE_CLAIMS, claim.row_key, condition, fields)
        ending, version = await self._writer.write(write)
        claim.version = version
        return ending

    async def _read_until_answered(self, claim: Claim) -> ClaimRow | None:
        while True:
            try:
                return await self._read(claim)
            except StoreUnavailableError:
                await trio.sleep(RETRY_PAUSE_S)

    async def _read(self, claim: Claim) -> ClaimRow | None:
        row = await self._tables.read_row(TABLE_CLAIMS, claim.row_key)
        return None if row is None else parse_claim_row(row)

    def _make_fields(self, claim: Claim) -> dict[str, Any]:
        return {
            'claim_id': claim.claim_id,
            'entry': self._identity.name,
            'incarnation': self._identity.incarnation,
            'fingerprint': claim.fingerprint,
            'claimed_at_s': claim.claimed_at_s,
            'outcome': None if claim.outcome is None else claim.outcome.value,
        }


def parse_claim_row(row: Row) -> ClaimRow:
    """Return the claim in a row of the table `claims`."""
    fields = row.value or {}
    outcome = fields['outcome']
    return ClaimRow(
        claim_id=fields['claim_id'],
        entry=fields['entry'],
        incarnation=fields['incarnation'],
        fingerprint=fields['fingerprint'],
        claimed_at_s=fields['claimed_at_s'],
        outcome=None if outcome is None else Outcome(outcome),
        version=row.version,
    )


def _make_unavailable() -> Refusal:
    return Refusal(
        RefusalReason.CLAIM_UNAVAILABLE,
        'the store did not confirm the claim in time',
        retry_after_s=RETRY_AFTER_S,
    )
