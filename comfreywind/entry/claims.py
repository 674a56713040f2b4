"""Claims idempotency keys, so that each key runs at most once in the whole fleet."""

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
from comfreywind.entry.claim_asker import ClaimOutcomeExchange
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

# Covers one lost reply and the read that follows; after a longer outage the caller gets a refusal.
CLAIM_WAIT_S = 5.0
READ_RETRY_PAUSE_S = 0.2
END_RETRY_PAUSE_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
RETRY_AFTER_S = 1.0


class Claims:
    """Claims keys in grouped transactions and writes the outcomes of their requests."""

    def __init__(
        self,
        tables: TableClient,
        identity: PeerIdentity,
        services: ServiceTasks,
        clock: Clock,
        retention_s: float,
        hub: PeerHub | None = None,
    ) -> None:
        """Store claims with `tables`; without a hub, the owner of a claim can't be queried."""
        self._tables = tables
        self._identity = identity
        self._services = services
        self._clock = clock
        self._retention_s = retention_s
        self._writer = GroupedWriter(tables)
        self._held: dict[str, Claim] = {}
        self._exchange = None if hub is None else ClaimOutcomeExchange(hub, self.get_outcome)

    async def run(self) -> None:
        """Send the queued writes until cancelled."""
        await self._writer.run()

    async def claim(self, row_key: str, fingerprint: str, wait_s: float) -> Claim:
        """Return a new claim of the key.

        Raises RefusalError if the key is claimed already, or if the store doesn't confirm the claim
        within `wait_s` or `CLAIM_WAIT_S`, whichever is shorter.
        """
        now_s = self._clock.read_utc().timestamp()
        claim = Claim(row_key, uuid.uuid4().hex, fingerprint, now_s)
        self._held[claim.claim_id] = claim
        refusal: Refusal | None = None
        claimed = False
        try:
            with trio.move_on_after(min(wait_s, CLAIM_WAIT_S)):
                refusal = await self._acquire(claim)
                claimed = refusal is None
        finally:
            if not claimed:
                self._abandon(claim, maybe_written=refusal is None)
        if not claimed:
            raise RefusalError(refusal or _make_unavailable_refusal())
        return claim

    async def drain(self, timeout_s: float) -> None:
        """Wait until every claim is released or its outcome written, at most for the timeout."""
        with trio.move_on_after(timeout_s):
            while self._held:
                await trio.sleep(DRAIN_POLL_INTERVAL_S)

    def finish(self, claim: Claim, outcome: Outcome) -> None:
        """Write the outcome in the background, or release the claim if the request has not run."""
        claim.outcome = outcome
        self._services.start(partial(self._write_end, claim))

    def get_outcome(self, claim_id: str) -> Outcome | None:
        """Return the outcome of a claim held here, or None if its request runs or it isn't held."""
        claim = self._held.get(claim_id)
        return None if claim is None else claim.outcome

    async def _acquire(self, claim: Claim) -> Refusal | None:
        """Write the claim and return None, or return the refusal if the key can't be claimed."""
        row: ClaimRow | None = None
        step = ClaimStep.WRITE
        while True:
            if step is ClaimStep.WRITE:
                condition = get_write_condition(row)
                step = decide_after_write(await self._write(claim, condition))
            elif step is ClaimStep.READ:
                row = await self._read_with_retries(claim)
                step = self._decide_after_read(claim, row)
                claim.version = None if row is None else row.version
            else:
                return await self._get_refusal(claim, step, row)

    def _decide_after_read(self, claim: Claim, row: ClaimRow | None) -> ClaimStep:
        oldest_s = self._clock.read_utc().timestamp() - self._retention_s
        return decide_after_read(row, claim.claim_id, claim.fingerprint, oldest_s)

    async def _get_refusal(
        self, claim: Claim, step: ClaimStep, row: ClaimRow | None
    ) -> Refusal | None:
        if step is ClaimStep.REJECT_OTHER_REQUEST:
            return Refusal(
                RefusalReason.KEY_REUSED, 'the key came with another method, path or body'
            )
        if row is None or step is ClaimStep.RUN:
            return None
        outcome = row.outcome or await self._query_owner(row)
        return Refusal(
            RefusalReason.CLAIM_EXISTS,
            f'the key was claimed by {row.entry}',
            outcome or Outcome.UNKNOWN,
            retry_after_s=RETRY_AFTER_S if outcome in {None, Outcome.NOT_RUN} else None,
        )

    async def _query_owner(self, row: ClaimRow) -> Outcome | None:
        if row.entry == self._identity.name:
            return self.get_outcome(row.claim_id)
        return None if self._exchange is None else await self._exchange.query_outcome(row)

    def _abandon(self, claim: Claim, maybe_written: bool) -> None:
        if maybe_written:
            self.finish(claim, Outcome.NOT_RUN)
        else:
            del self._held[claim.claim_id]

    async def _write_end(self, claim: Claim) -> None:
        """Release the claim or write its outcome, retrying until the row shows it."""
        end = decide_claim_end(claim.outcome or Outcome.UNKNOWN)
        while not await self._write_end_once(claim, end):
            await trio.sleep(END_RETRY_PAUSE_S)
        del self._held[claim.claim_id]

    async def _write_end_once(self, claim: Claim, end: ClaimEnd) -> bool:
        try:
            version = claim.version or await self._read_version(claim, end)
        except StoreUnavailableError:
            return False
        if version is None:
            return True
        writes_outcome = end is ClaimEnd.WRITE_OUTCOME
        write = RowWrite(
            TABLE_CLAIMS,
            claim.row_key,
            version,
            self._make_row_fields(claim) if writes_outcome else None,
        )
        result, _ = await self._writer.write(write)
        # The version is unconfirmed after a conflict or lost reply; the next attempt reads the row.
        claim.version = None
        return result is WriteResult.DONE

    async def _read_version(self, claim: Claim, end: ClaimEnd) -> int | None:
        """Return the version of the row, or None if the row needs no further write.

        Waits first for the transaction in flight, which may carry a cancelled write of this claim.
        """
        await self._writer.wait_for_transaction()
        row = await self._read(claim)
        if row is None or is_end_resolved(end, row, claim.claim_id):
            return None
        return row.version

    async def _write(self, claim: Claim, condition: int) -> WriteResult:
        fields = self._make_row_fields(claim)
        write = RowWrite(TABLE_CLAIMS, claim.row_key, condition, fields)
        result, version = await self._writer.write(write)
        claim.version = version
        return result

    async def _read_with_retries(self, claim: Claim) -> ClaimRow | None:
        while True:
            try:
                return await self._read(claim)
            except StoreUnavailableError:
                await trio.sleep(READ_RETRY_PAUSE_S)

    async def _read(self, claim: Claim) -> ClaimRow | None:
        row = await self._tables.read_row(TABLE_CLAIMS, claim.row_key)
        return None if row is None else parse_claim_row(row)

    def _make_row_fields(self, claim: Claim) -> dict[str, Any]:
        return {
            'claim_id': claim.claim_id,
            'entry': self._identity.name,
            'incarnation': self._identity.incarnation,
            'fingerprint': claim.fingerprint,
            'claimed_at_s': claim.claimed_at_s,
            'outcome': None if claim.outcome is None else claim.outcome.value,
        }


def parse_claim_row(row: Row) -> ClaimRow:
    """Parse a row of the table `claims`."""
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


def _make_unavailable_refusal() -> Refusal:
    return Refusal(
        RefusalReason.CLAIM_UNAVAILABLE,
        'the store did not confirm the claim in time',
        retry_after_s=RETRY_AFTER_S,
    )
