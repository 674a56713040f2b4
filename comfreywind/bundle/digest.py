"""Computes the digest of a bundle's content."""

import hashlib
import json


def compute_digest(document: object) -> str:
    """Return the SHA-256 of the document's canonical JSON, in hexadecimal."""
    text = json.dumps(document, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(text.encode()).hexdigest()
