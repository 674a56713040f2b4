"""Which of two versions of the rules or of a key applies."""

from comfreywind.decisions.keys import TeamKey


def is_newer_version(known_version: int, offered_version: int) -> bool:
    """Return whether an offered bundle version replaces the known one; 0 stands for none.

    An accepted version is never reverted, whatever the order in which offers arrive.
    """
    return offered_version > known_version


def is_newer_key(known: TeamKey | None, offered: TeamKey) -> bool:
    """Return whether an offered state of a key replaces the known one."""
    return known is None or offered.row_version > known.row_version
