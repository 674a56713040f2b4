"""Digest of a set of rows that is updated incrementally as rows change."""

import hashlib

DIGEST_BYTES = 8


def update_digest(digest: int, key: str, old_version: int, new_version: int) -> int:
    """Return the digest after the version of a row has changed; version 0 means that it is missing.

    The digest is the exclusive or of the 64-bit hashes of all rows (key and version), so it does
    not depend on the order in which the rows arrived.
    """
    return digest ^ _hash_row(key, old_version) ^ _hash_row(key, new_version)


def _hash_row(key: str, version: int) -> int:
    if version == 0:
        return 0
    text = f'{version}:{key}'
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest())
