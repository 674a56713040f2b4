"""Puts accepted bundle versions into force on this entry."""

import json
import logging

from comfreywind.bundle.digest import compute_digest
from comfreywind.bundle.parse import make_rules, parse_bundle
from comfreywind.decisions.versions import is_newer_version
from comfreywind.entry.rules_view import RulesView
from comfreywind.errors import BundleError
from comfreywind.peers.messages.bundle_offer import BundleOffer

# The parser raises RecursionError for text that is nested too deeply.
JSON_ERRORS = (ValueError, RecursionError)

log = logging.getLogger('comfreywind.rules')


def make_offer(version: int, digest: str, document: object) -> BundleOffer:
    """Return the offer of an accepted version; raise BundleError if the digest doesn't match."""
    if compute_digest(document) != digest:
        raise BundleError(f'bundle version {version}: the content does not have digest {digest}')
    return BundleOffer(version, digest, json.dumps(document, separators=(',', ':')))


def apply_offer(rules_view: RulesView, offer: BundleOffer) -> bool:
    """Put the version into force if it is higher than the current one, and return whether it is.

    Raises BundleError if the content is not a valid bundle or doesn't match the digest.
    """
    rules_view.record_accepted_version(offer.version)
    if not is_newer_version(rules_view.read_version(), offer.version):
        return False
    source = f'bundle version {offer.version}'
    try:
        document = json.loads(offer.bundle_text)
    except JSON_ERRORS as error:
        raise BundleError(f'{source}: not JSON: {error}') from error
    if compute_digest(document) != offer.digest:
        raise BundleError(f'{source}: the content does not have digest {offer.digest}')
    rules_view.apply_rules(make_rules(parse_bundle(document, source), offer.version), offer)
    log.info('bundle version %d is in force', offer.version)
    return True
