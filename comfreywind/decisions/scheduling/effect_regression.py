"""Estimates how much each neighbour raises a figure of the tasks of one image."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import repeat

from comfreywind.decisions.scheduling.symmetric_inverse import invert

# Disturbances change within seconds, and a task gives about one independent figure a second. With
# this half-life, one task weighs 29 figures, and an effect that has ended is forgotten in a minute.
HALF_LIFE_S = 20.0
# Neighbours of one image that are known at the same time. The inverse takes time by the cube.
PARTNER_LIMIT = 12
# Rows of the matrix: the baseline and the neighbours.
SIZE = PARTNER_LIMIT + 1
# How many figures are as good as one independent figure. The load of a task lasts for seconds, so
# its figures of successive seconds are alike.
CORRELATED_COUNT = 3
# Figures within this of each other count as equal: tails are whole milliseconds.
MIN_DEVIATION = 0.05
# Weight, in figures, of the assumption that a neighbour has no effect. It makes the matrix
# invertible; neighbours that are always together are recognised by `Effect.information`.
RIDGE = 0.05
# A neighbour that has less than this part of its information beside the load comes and goes with it.
INDEPENDENT_OF_LOAD_RATIO = 0.5
# Name of the neighbour that stands for the processor load of the other tasks on a target.
LOAD = ''
# Weights grow with time instead of being decayed at each figure, until they are this large.
WEIGHT_LIMIT = 1e6
# After so many half-lives without figures their weight is nothing; a higher power may overflow.
MAX_HALF_LIVES = 60.0
# A neighbour that was not seen for this time, when its figures weigh 1/64, is forgotten.
FORGET_S = 6 * HALF_LIFE_S


@dataclass(frozen=True, slots=True)
class Effect:
    """How much a neighbour raises a figure.

    `mean` is the estimate, `error` its standard error, and `baseline` the figure without any
    neighbour. `information` is how many figures tell the effect apart from everything else. It is
    low for a neighbour that is always there, never there, or always together with another.
    `elsewhere` is how many figures with the neighbour are not from the target with the most, or
    fewer if no target has most of them.
    """

    mean: float
    error: float
    baseline: float
    information: float
    elsewhere: float


@dataclass(slots=True)
class _Partner:
    """A neighbour: its place in the matrix, and the weight of its figures.

    `lead` is by how much those of `main_target` outweigh the others, as in a majority vote.
    """

    index: int
    seen_s: float
    total: float = 0
    main_target: str = ''
    lead: float = 0

    def note_seen(self, target_id: str, weight: float, now_s: float) -> None:
        self.seen_s = now_s
        self.total += weight
        if target_id == self.main_target:
            self.lead += weight
            return
        self.lead -= weight
        if self.lead < 0:
            self.main_target = target_id
            self.lead = -self.lead

    def compute_elsewhere(self) -> float:
        return (self.total - self.lead) / 2

    def scale(self, divisor: float) -> None:
        self.total /= divisor
        self.lead /= divisor


class EffectRegression:
    """Least squares over all neighbours at once, with weights that halve every `HALF_LIFE_S`.

    Solving for all of them together blames none for the effect of another.
    """

    def __init__(self, now_s: float) -> None:
        """Begin without any figures."""
        self.updated_s = now_s
        self._reference_s = now_s
        self._partners: dict[str, _Partner] = {}
        self._free = list(range(PARTNER_LIMIT, 0, -1))
        # Sums of the products of presences, of presence and figure, and of squared figures. Index 0
        # is the baseline. Only elements whose column is not below the row are kept up.
        self._products = [_make_zeros() for _ in range(SIZE)]
        self._figure_products = _make_zeros()
        self._squares: float = 0

    def __len__(self) -> int:
        """Return the number of neighbours that are known."""
        return len(self._partners)

    def add(
        self, figure: float, presences: Mapping[str, float], target_id: str, now_s: float
    ) -> None:
        """Add a figure; `presences` tells how much each neighbour was there, from 0 to 1."""
        weight = self._compute_weight(now_s)
        self.updated_s = now_s
        regressors = [(0, 1.0)]
        for name, presence in presences.items():
            if presence > 0:
                partner = self._get_partner(name, now_s)
                partner.note_seen(target_id, weight, now_s)
                regressors.append((partner.index, presence))
        regressors.sort()
        for position, (index, presence) in enumerate(regressors):
            weighted = weight * presence
            self._figure_products[index] += weighted * figure
            row = self._products[index]
            for other_index, other_presence in regressors[position:]:
                row[other_index] += weighted * other_presence
        self._squares += weight * figure * figure

    def forget_stale(self, now_s: float) -> None:
        """Forget the neighbours that were not seen for `FORGET_S`."""
        for name, partner in list(self._partners.items()):
            if now_s - partner.seen_s > FORGET_S:
                self._drop(name)

    def estimate(self, now_s: float) -> dict[str, Effect]:
        """Return the effects of all neighbours; empty while there are too few figures.

        What a neighbour can't be told apart from is attributed to neither, except that a neighbour
        gets the effect of a load that comes and goes with it, since it is part of that load.
        """
        weight = self._compute_weight(now_s)
        effects = self._solve(list(self._partners), weight)
        if LOAD not in self._partners:
            return effects
        without_load = self._solve([name for name in self._partners if name != LOAD], weight)
        for name, effect in without_load.items():
            known = effects.get(name)
            needed = effect.information * INDEPENDENT_OF_LOAD_RATIO
            if known is None or known.information < needed:
                effects[name] = effect
        return effects

    def _solve(self, names: list[str], weight: float) -> dict[str, Effect]:
        """Return the effects of some neighbours, as if the others had none."""
        partners = [self._partners[name] for name in names]
        indices = [0, *(partner.index for partner in partners)]
        figures = self._products[0][0] / weight
        inverse = invert(self._make_matrix(indices, weight))
        if inverse is None or figures <= len(indices):
            return {}
        moments = [self._figure_products[index] / weight for index in indices]
        means = [_multiply(row, moments) for row in inverse]
        unexplained = max(0, self._squares / weight - _multiply(means, moments))
        variance = CORRELATED_COUNT * max(unexplained / (figures - len(indices)), MIN_DEVIATION**2)
        return {
            name: Effect(
                mean=means[number],
                error=math.sqrt(variance * inverse[number][number]),
                baseline=means[0],
                information=self._compute_information(partner.index, inverse[number][number]),
                elsewhere=partner.compute_elsewhere() / weight,
            )
            for number, (name, partner) in enumerate(zip(names, partners, strict=True), start=1)
        }

    def _make_matrix(self, indices: list[int], weight: float) -> list[list[float]]:
        """Return the products at their present weights, with the ridge."""
        products = self._products
        matrix = [
            [products[min(index, other)][max(index, other)] / weight for other in indices]
            for index in indices
        ]
        for number, index in enumerate(indices):
            matrix[number][number] += RIDGE * self._compute_square_presence(index)
        return matrix

    def _compute_square_presence(self, index: int) -> float:
        """Return the square of how much a neighbour typically was there, while it was.

        Pace keeps a best-effort task that disturbs at a fifth of its work. Its figures tell it
        apart as well as those of a task at full work, only its effect is known less exactly.
        """
        total = self._products[0][index]
        return (self._products[index][index] / total) ** 2 if total else 1

    def _compute_information(self, index: int, variance: float) -> float:
        """Return how many figures tell a neighbour apart, by its element of the inverse."""
        return 1 / (variance * self._compute_square_presence(index)) - RIDGE

    def _compute_weight(self, now_s: float) -> float:
        """Return the weight of a figure of this moment; all sums are scaled when it is large."""
        half_lives = min(MAX_HALF_LIVES, (now_s - self._reference_s) / HALF_LIFE_S)
        weight: float = 2**half_lives
        if weight < WEIGHT_LIMIT:
            return weight
        self._products = [[product / weight for product in row] for row in self._products]
        self._figure_products = [product / weight for product in self._figure_products]
        self._squares /= weight
        for partner in self._partners.values():
            partner.scale(weight)
        self._reference_s = now_s
        return 1.0

    def _get_partner(self, name: str, now_s: float) -> _Partner:
        partner = self._partners.get(name)
        if partner is None:
            if not self._free:
                self._drop_stalest()
            partner = _Partner(self._free.pop(), now_s)
            self._partners[name] = partner
        return partner

    def _drop_stalest(self) -> None:
        self._drop(min(self._partners, key=lambda name: self._partners[name].seen_s))

    def _drop(self, name: str) -> None:
        """Forget a neighbour, whose figures count as those without any neighbour from now on."""
        index = self._partners.pop(name).index
        self._products[index] = _make_zeros()
        for row in self._products:
            row[index] = 0
        self._figure_products[index] = 0
        self._free.append(index)


def _make_zeros() -> list[float]:
    return list(repeat(0, SIZE))


def _multiply(row: list[float], column: list[float]) -> float:
    return sum(left * right for left, right in zip(row, column, strict=True))
