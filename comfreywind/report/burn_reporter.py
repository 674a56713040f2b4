"""Makes burn reports from the summaries of all processes."""

from collections.abc import Iterable

from comfreywind.bundle.rules import Objective
from comfreywind.clock import Clock
from comfreywind.report.burn_report import BurnReport, make_burn_report
from comfreywind.report.result_recorder import ResultRecorder
from comfreywind.report.summary_store import KIND_HOURS, KIND_MINUTES, SummaryStore


class BurnReporter:
    """Writes the current counts of this process, then reports on those of all processes."""

    def __init__(self, store: SummaryStore, recorder: ResultRecorder, clock: Clock) -> None:
        """Use the given store, recorder and clock."""
        self._store = store
        self._recorder = recorder
        self._clock = clock

    async def make_report(self, objectives: Iterable[Objective]) -> BurnReport:
        """Return the report; raise PlatformError when the store doesn't answer."""
        await self._store.write(self._recorder)
        minutes = await self._store.read(KIND_MINUTES)
        hours = await self._store.read(KIND_HOURS)
        return make_burn_report(self._clock.read_utc(), objectives, minutes, hours)
