"""API keys of teams: creation, hashing and authentication."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

KEY_PREFIX = 'cfw'
SECRET_BYTES = 24


@dataclass(frozen=True, slots=True)
class TeamKey:
    """A granted key as it is stored, with the hash of its secret instead of the secret."""

    key_id: str
    team: str
    secret_sha256: str
    withdrawn: bool
    row_version: int


@dataclass(frozen=True, slots=True)
class NewKey:
    """A key that was just created; `text` contains the secret and is shown only once."""

    key_id: str
    secret_sha256: str
    text: str


def make_key() -> NewKey:
    """Return a new key with a random id and secret."""
    key_id = secrets.token_hex(6)
    secret = secrets.token_hex(SECRET_BYTES)
    return NewKey(key_id, hash_secret(secret), f'{KEY_PREFIX}_{key_id}_{secret}')


def hash_secret(secret: str) -> str:
    """Return the SHA-256 hash of a secret in hexadecimal.

    A secret of 24 random bytes can't be guessed, so no slow password hash is needed.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def authenticate_team(keys: dict[str, TeamKey], authorization: str) -> str | None:
    """Return the team of a bearer key (RFC 6750), or None for an unknown or withdrawn key."""
    scheme, _, text = authorization.partition(' ')
    fields = text.strip().split('_')
    if scheme.lower() != 'bearer' or len(fields) != 3 or fields[0] != KEY_PREFIX:
        return None
    key = keys.get(fields[1])
    if key is None or key.withdrawn:
        return None
    if not hmac.compare_digest(key.secret_sha256, hash_secret(fields[2])):
        return None
    return key.team
