"""Where a task would do or suffer harm, for the starts of one plan in one pool."""

from collections.abc import Iterable, Mapping

from comfreywind.decisions.scheduling.effect_regression import LOAD
from comfreywind.decisions.scheduling.harm import FigureKind
from comfreywind.decisions.scheduling.interference import Interference
from comfreywind.scheduling.target_record import TargetRecord

# Smaller differences between targets don't matter to callers, so packing decides.
HARM_STEP = FigureKind.TAIL.value
NO_LEVELS: Mapping[str, int] = {}


class HarmMap:
    """The harm of a start by image and target, computed once for the images that need it."""

    def __init__(self, interference: Interference, targets: Iterable[TargetRecord]) -> None:
        """Use the harm known at this moment for starts on `targets`."""
        self._interference = interference
        self._targets = targets
        self._levels: dict[str, dict[str, int]] = {}

    def get_levels(self, image: str) -> Mapping[str, int]:
        """Return the targets where a task of the image would do or suffer harm, and how much."""
        harms = self._interference.list_harms(image)
        if not harms:
            return NO_LEVELS
        levels = self._levels.get(image)
        if levels is None:
            levels = {}
            for target in self._targets:
                _set_level(levels, target, harms)
            self._levels[image] = levels
        return levels

    def update(self, target: TargetRecord) -> None:
        """Compute the harm on a target anew, after runs were added to it or removed."""
        for image, levels in self._levels.items():
            _set_level(levels, target, self._interference.list_harms(image))


def list_harmful_images(target: TargetRecord, harms: Mapping[str, float]) -> list[str]:
    """Return the images on the target that do harm, with `LOAD` if the load of the target does."""
    harmful = [image for image in harms if image in target.images]
    if _compute_load(target) * harms.get(LOAD, 0) >= HARM_STEP:
        harmful.append(LOAD)
    return harmful


def _set_level(levels: dict[str, int], target: TargetRecord, harms: Mapping[str, float]) -> None:
    harm = sum(least for image, least in harms.items() if image in target.images)
    harm += _compute_load(target) * harms.get(LOAD, 0)
    level = int(harm / HARM_STEP)
    if level:
        levels[target.entry.target_id] = level
    else:
        levels.pop(target.entry.target_id, None)


def _compute_load(target: TargetRecord) -> float:
    """Return the part of the processor time that the runs on a target have reserved."""
    capacity = target.entry.capacity.cpu_millicores
    return target.used.cpu_millicores / capacity if capacity else 0
