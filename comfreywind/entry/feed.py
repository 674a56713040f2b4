"""Polls the platform's change feed."""

import logging

import trio

from comfreywind.clock import Clock
from comfreywind.control.control_view import CONTROL_TABLES, ControlView
from comfreywind.decisions.keys import TeamKey
from comfreywind.decisions.versions import is_newer_version
from comfreywind.entry.bundle_loading import apply_offer, make_offer
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.rules_view import RulesView
from comfreywind.errors import ComfreywindError, PlatformError
from comfreywind.platform.object_client import ObjectClient
from comfreywind.platform.row import Row
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import ROW_BUNDLE, TABLE_CURRENT, TABLE_KEYS, TABLE_VMS

FOLLOWED_TABLES = (TABLE_CURRENT, TABLE_KEYS, *CONTROL_TABLES)

log = logging.getLogger('comfreywind.feed')


class Feed:
    """Polls for changes at a fixed interval and applies them to the views of this entry."""

    def __init__(
        self,
        tables: TableClient,
        objects: ObjectClient,
        rules_view: RulesView,
        fleet_view: FleetView,
        clock: Clock,
        control_view: ControlView | None = None,
    ) -> None:
        """Poll with `tables`; `objects` holds the content of the bundle versions."""
        self._tables = tables
        self._objects = objects
        self._rules_view = rules_view
        self._fleet_view = fleet_view
        self._clock = clock
        self._control_view = control_view or ControlView(clock)

    async def run(self, interval_s: float) -> None:
        """Poll until cancelled; after a failed poll the next one reads the same changes again."""
        while True:
            try:
                await self.poll_once()
            except ComfreywindError as error:
                self._rules_view.record_read_attempt(self._clock.read_monotonic_s())
                log.warning("can't poll the change feed, retrying: %s", error)
            await trio.sleep(interval_s)

    async def poll_once(self) -> None:
        """Read and apply all changes since the last poll; raise PlatformError on failure."""
        started_s = self._clock.read_monotonic_s()
        changes = await self._tables.read_changes(self._rules_view.sequence, FOLLOWED_TABLES)
        self._fleet_view.apply_vm_rows(row for row in changes.rows if row.table == TABLE_VMS)
        for row in changes.rows:
            await self._apply_row(row)
        self._control_view.apply_changes(changes)
        self._rules_view.sequence = changes.sequence
        self._rules_view.record_store_read(started_s)

    async def _apply_row(self, row: Row) -> None:
        if row.table == TABLE_KEYS:
            self._rules_view.apply_key(parse_key_row(row))
        elif row.table == TABLE_CURRENT and row.key == ROW_BUNDLE and row.value is not None:
            await self._load_bundle(row.value['version'], row.value['digest'])

    async def _load_bundle(self, version: int, digest: str) -> None:
        self._rules_view.record_accepted_version(version)
        if not is_newer_version(self._rules_view.read_version(), version):
            return
        try:
            document = await self._objects.read(f'bundles-{digest}')
        except PlatformError:
            log.warning(
                "bundle version %d is accepted but can't be read from the object store", version
            )
            raise
        apply_offer(self._rules_view, make_offer(version, digest, document))


def parse_key_row(row: Row) -> TeamKey:
    """Parse a row of the table `keys`; a deleted row counts as a withdrawn key."""
    fields = row.value or {}
    return TeamKey(
        key_id=row.key,
        team=fields.get('team', ''),
        secret_sha256=fields.get('secret_sha256', ''),
        withdrawn=fields.get('state') != 'granted',
        row_version=row.version,
    )
