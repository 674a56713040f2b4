"""Keys of teams: their text form, their hash and their check."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

KEY_PREFIX = 'cfw'
SECRET_BYTES = 24


@dataclass(frozen=True, slots=True)
class TeamKey:
    """A granted key; only the hash of its secret is kept."""

    key_id: str
    team: str
    secret_sha256: str
    withdrawn: bool
    row_version: int


@dataclass(frozen=True, slots=True)
class NewKey:
    """A key just made, with its secret text, which is shown once."""

    key_id: str
    secret_sha256: str
    text: str


def make_key() -> NewKey:
    """Return a new key with a random id and secret."""
    key_id = secrets.token_hex(6)
    secret = secrets.token_hex(SECRET_BYTES)
    return NewKey(key_id, hash_secret(secret), f'{KEY_PREFIX}_{key_id}_{secret}')


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a secret in hexadecimal.

    The secret is 24 random bytes, so a plain hash resists guessing without a slow hash function.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def find_team(keys: dict[str, TeamKey], authorization: str) -> str | None:
    """Return the team of a bearer key (RFC 6750), or None for an unknown or withdrawn key."""
    scheme, _, text = authorization.partition(' ')
    parts = text.strip().split('_')
    if scheme.lower() != 'bearer' or len(parts) != 3 or parts[0] != KEY_PREFIX:
        return None
    key = keys.get(parts[1])
    if key is None or key.withdrawn:
        return None
    if not hmac.compare_digest(key.secret_sha256, hash_secret(parts[2])):
        return None
    return key.team
