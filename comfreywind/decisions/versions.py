"""Decides which of two versions of a bundle or of a key applies."""

from comfreywind.decisions.keys import TeamKey


def is_newer_version(known_version: int, offered_version: int) -> bool:
    """Return whether an offered bundle version replaces the known one; 0 means none.

    Only a higher version does, so an accepted version is never reverted, in whatever order the
    offers arrive.
    """
    return offered_version > known_version


def is_newer_key(known: TeamKey | None, offered: TeamKey) -> bool:
    """Return whether an offered version of a key replaces the known one."""
    return known is None or offered.row_version > known.row_version
