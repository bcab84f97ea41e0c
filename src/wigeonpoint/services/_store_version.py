"""Versions of a store that may be restored from an older copy.

After a restore the store gives out again the version numbers that it has lost, for other changes.
It counts its restores in its era, so a version is ordered by the era first and the number second.
One integer holds both, the era above the number; versions of a store that was never restored equal
their numbers.
"""

from __future__ import annotations

_NUMBER_BITS = 40
_MAX_NUMBER = (1 << _NUMBER_BITS) - 1


def make_version(era: int, number: int) -> int:
    """The version with a number in an era.

    Raises:
        ValueError: The number is negative or too large.
    """
    if era < 0 or not 0 <= number <= _MAX_NUMBER:
        raise ValueError(f"not a store version: number {number} in era {era}")
    return era << _NUMBER_BITS | number


def era_of(version: int) -> int:
    """Number of restores of the store before it gave out a version."""
    return version >> _NUMBER_BITS


def number_of(version: int) -> int:
    """Number of a version within its era, as the store itself writes it."""
    return version & _MAX_NUMBER


def version_fields(version: int) -> dict[str, int]:
    """The fields with which log lines show a version."""
    return {"version": number_of(version), "era": era_of(version)}
