"""Report on the evacuations of data centres, read from the platform's store."""

from comfreywind.platform.evacuation_codec import decode_evacuation_state
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.wire import PREFIX_EVACUATION, TABLE_OPERATOR, TABLE_STATUS

NO_CELLS = ('not shown yet', '')


async def read_evacuation_report(rows: RowsClient) -> list[tuple[str, ...]]:
    """Return the requests of the operator: data centre, state, reason."""
    report: list[tuple[str, ...]] = []
    for key in sorted(await rows.read_versions(TABLE_OPERATOR, '', PREFIX_EVACUATION)):
        row = await rows.read_row(TABLE_STATUS, '', key)
        state = decode_evacuation_state(row.payload or b'')
        cells = NO_CELLS if state is None else (state.state, state.reason)
        report.append((key.removeprefix(PREFIX_EVACUATION), *cells))
    return report
