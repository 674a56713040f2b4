"""Tells operators which starts were placed apart from tasks that they would harm."""

import logging

from comfreywind.decisions.scheduling.effect_regression import LOAD
from comfreywind.decisions.scheduling.interference import Interference
from comfreywind.jobs.task_key import TaskKey
from comfreywind.metrics import Metrics
from comfreywind.scheduling.harm_map import list_harmful_images
from comfreywind.scheduling.harm_text import describe_harm
from comfreywind.scheduling.target_record import TargetRecord

# A line for each image at this interval. A burst starts hundreds of tasks of an image a second.
LINE_INTERVAL_S = 1.0

log = logging.getLogger('comfreywind.interference')


class SeparationLog:
    """Counts such starts, and logs some of them with the reason."""

    def __init__(self, interference: Interference, metrics: Metrics) -> None:
        """Explain by what `interference` knows at the time of a start."""
        self._interference = interference
        self._metrics = metrics
        self._logged_s: dict[str, float] = {}

    def record_start(
        self, key: TaskKey, image: str, chosen_id: str, avoided: TargetRecord, now_s: float
    ) -> None:
        """Record that a task starts on `chosen_id` instead of `avoided`."""
        self._metrics.count('interference.starts_apart')
        if now_s - self._logged_s.get(image, float('-inf')) < LINE_INTERVAL_S:
            return
        self._logged_s = {
            name: logged_s
            for name, logged_s in self._logged_s.items()
            if now_s - logged_s < LINE_INTERVAL_S
        }
        self._logged_s[image] = now_s
        log.info(
            'task %s: started on target %s instead of %s, because %s',
            key,
            chosen_id,
            avoided.entry.target_id,
            '; '.join(self._list_reasons(image, avoided)),
        )

    def _list_reasons(self, image: str, avoided: TargetRecord) -> list[str]:
        partners = list_harmful_images(avoided, self._interference.list_harms(image))
        pairs = [(image, partner) for partner in partners]
        pairs += [(partner, image) for partner in partners if partner not in {LOAD, image}]
        harms = self._interference.harms
        return [describe_harm(harms[pair]) for pair in pairs if pair in harms]
