"""Turns documents into flat figure names."""

import re

from bench.figures import Figures

UNSAFE = re.compile('[^a-z0-9_]+')


def make_name(*parts: str) -> str:
    """Return the parts as one name in lower case with underscores."""
    return '_'.join(UNSAFE.sub('_', part.lower()).strip('_') for part in parts)


def add_document(figures: Figures, prefix: str, document: object) -> None:
    """Add each number in a nested document under its path; texts are left out."""
    if isinstance(document, dict):
        for name, part in document.items():
            add_document(figures, make_name(prefix, str(name)), part)
    elif isinstance(document, int | float):
        figures.add(prefix, document)
