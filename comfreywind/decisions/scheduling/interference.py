"""Learns which images slow each other down when their tasks share a target."""

from collections.abc import Mapping

from comfreywind.decisions.scheduling.effect_regression import FORGET_S, LOAD, EffectRegression
from comfreywind.decisions.scheduling.harm import FigureKind, Harm, compute_least, is_harmful

# Images whose slowing down is learnt at the same time. A pool serves some 8 queues with 2 steps.
IMAGE_LIMIT = 48
# One figure far above the others must not decide; above this every figure is equally bad.
FIGURE_LIMIT = 3.0
NO_HARMS: Mapping[str, float] = {}


class Interference:
    """What is known of the effects of images on each other.

    It begins without any knowledge, and without figures all of it fades.
    """

    def __init__(self) -> None:
        """Begin without any figures."""
        self._images: dict[tuple[str, FigureKind], EffectRegression] = {}
        self.harms: dict[tuple[str, str], Harm] = {}
        self._least_by_image: dict[str, dict[str, float]] = {}

    def add(
        self,
        image: str,
        kind: FigureKind,
        figure: float,
        presences: Mapping[str, float],
        target_id: str,
        now_s: float,
    ) -> None:
        """Add a figure of a task of `image`, with the neighbours that it had."""
        regression = self._images.get((image, kind))
        if regression is None:
            if len(self._images) >= IMAGE_LIMIT:
                del self._images[min(self._images, key=lambda each: self._images[each].updated_s)]
            regression = EffectRegression(now_s)
            self._images[image, kind] = regression
        regression.add(min(figure, FIGURE_LIMIT), presences, target_id, now_s)

    def review(self, now_s: float) -> tuple[list[Harm], list[Harm]]:
        """Judge all pairs anew; return the harms that were found and those that have ended."""
        harms: dict[tuple[str, str], Harm] = {}
        for (image, kind), regression in list(self._images.items()):
            if now_s - regression.updated_s > FORGET_S:
                del self._images[image, kind]
                continue
            regression.forget_stale(now_s)
            for harm in self._judge(image, kind, regression, now_s):
                harms[harm.disturbed, harm.partner] = harm
        found = [harm for pair, harm in harms.items() if pair not in self.harms]
        ended = [harm for pair, harm in self.harms.items() if pair not in harms]
        self.harms = harms
        self._least_by_image = {}
        for harm in harms.values():
            self._add_least(harm.disturbed, harm.partner, harm.least)
            if harm.partner not in {LOAD, harm.disturbed}:
                self._add_least(harm.partner, harm.disturbed, harm.least)
        return found, ended

    def list_harms(self, image: str) -> Mapping[str, float]:
        """Return the images that do harm beside `image`, to it or by it, and how much at least.

        Under `LOAD` is the harm to it of a target whose processor is all in use.
        """
        return self._least_by_image.get(image, NO_HARMS)

    def count_pairs(self) -> int:
        """Return the number of pairs of which something is known."""
        return sum(map(len, self._images.values()))

    def _judge(
        self, image: str, kind: FigureKind, regression: EffectRegression, now_s: float
    ) -> list[Harm]:
        harms: list[Harm] = []
        for partner, effect in regression.estimate(now_s).items():
            known = self.harms.get((image, partner))
            if is_harmful(kind, effect, known is not None):
                since_s = now_s if known is None else known.since_s
                # Known harm may last at a lower certainty, when it counts as just noticeable.
                least = max(kind.value, compute_least(effect))
                harms.append(Harm(image, partner, kind, effect, least, since_s))
        return harms

    def _add_least(self, image: str, partner: str, least: float) -> None:
        by_partner = self._least_by_image.setdefault(image, {})
        by_partner[partner] = by_partner.get(partner, 0) + least
