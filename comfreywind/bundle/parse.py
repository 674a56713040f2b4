"""Converts a bundle document to rules and validates references and relations between fields."""

from collections.abc import Iterable, Iterator

from comfreywind.bundle.models import BundleDocument, QueueModel
from comfreywind.bundle.overlay import apply_overlays, find_overlay_faults
from comfreywind.bundle.rules import Objective, PoolRules, QueueRules, Rules, TeamRules
from comfreywind.bundle.source import BundleSource
from comfreywind.errors import BundleError
from comfreywind.settings.loader import validate_model


def parse_bundle(document: object, source: str) -> BundleDocument:
    """Return the central rules with the branches' overlays applied.

    Raises BundleError with the source and with key path and reason of the faults found.
    """
    bundle_source = validate_model(BundleSource, document, source, BundleError)
    _raise_faults(source, find_overlay_faults(bundle_source))
    merged_document = apply_overlays(bundle_source)
    bundle = validate_model(BundleDocument, merged_document, source, BundleError)
    _raise_faults(
        source,
        [*_find_pool_faults(bundle), *_find_queue_faults(bundle), *_find_objective_faults(bundle)],
    )
    return bundle


def make_rules(bundle: BundleDocument, version: int) -> Rules:
    """Return the rules of a validated bundle."""
    return Rules(
        version=version,
        teams={name: TeamRules(name, **dict(team)) for name, team in bundle.teams.items()},
        pools={name: PoolRules(name, **dict(pool)) for name, pool in bundle.pools.items()},
        queues={
            name: QueueRules(name, **{**dict(queue), 'teams': frozenset(queue.teams)})
            for name, queue in bundle.queues.items()
        },
        objectives=tuple(Objective(**dict(objective)) for objective in bundle.objectives),
    )


def _raise_faults(source: str, faults: Iterable[str]) -> None:
    reasons = '; '.join(faults)
    if reasons:
        raise BundleError(f'{source}: {reasons}')


def _find_pool_faults(bundle: BundleDocument) -> Iterator[str]:
    for name, pool in bundle.pools.items():
        if pool.maintenance_lead_s >= pool.maintenance_period_s:
            yield f'pools.{name}.maintenance_lead_s: not shorter than the period'


def _find_queue_faults(bundle: BundleDocument) -> Iterator[str]:
    for name, queue in bundle.queues.items():
        pool = bundle.pools.get(queue.pool)
        if pool is None:
            yield f'queues.{name}.pool: no pool is named {queue.pool!r}'
        elif pool.spare:
            yield f'queues.{name}.pool: {queue.pool!r} is a spare pool, which serves no queue'
        yield from _find_team_faults(name, queue, set(bundle.teams))


def _find_team_faults(name: str, queue: QueueModel, known_teams: set[str]) -> Iterator[str]:
    named_teams = {*queue.teams, queue.open_team} - {None}
    for team in named_teams - known_teams:
        yield f'queues.{name}: no team is named {team!r}'
    if queue.open and queue.open_team is None:
        yield f'queues.{name}.open_team: a queue open to all needs a team for its work'
    if not queue.open and not queue.teams:
        yield f'queues.{name}.teams: no team may use this queue'


def _find_objective_faults(bundle: BundleDocument) -> Iterator[str]:
    for index, objective in enumerate(bundle.objectives):
        if objective.queue not in bundle.queues:
            yield f'objectives.{index}.queue: no queue is named {objective.queue!r}'
