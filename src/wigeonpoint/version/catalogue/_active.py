"""The catalogue in use, and which of the store's documents may replace it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from enum import Enum, auto

from wigeonpoint.version.catalogue._catalogue import Catalogue

REMEMBERED_CATALOGUES = 256  # of earlier versions, to recognise them in a copy of the store


class CatalogueVerdict(Enum):
    """What becomes of a document that the store holds."""

    ACTIVE = auto()  # it is active now
    IGNORED = auto()
    # A lower version that may have been given out again after a restore of the store. It replaces
    # the active one if the operators do not write that one again soon.
    DOUBTFUL = auto()


class ActiveCatalogue:
    """Holds the newest catalogue that this process has seen.

    It never returns to an older one. Operators who continue from a restored store may however give
    a version out again with other content, so the content decides where the store's era has risen.

    Once a version has called for keys, all later ones do, so that a version which takes away the
    last customer does not admit every caller.
    """

    def __init__(self) -> None:
        self._catalogue = Catalogue()
        self._fingerprint = self._catalogue.fingerprint  # as the store holds it
        self._keys_needed = False
        self._era = 0
        self._seen: OrderedDict[int, None] = OrderedDict()  # fingerprints, the oldest first

    @property
    def catalogue(self) -> Catalogue:
        """The active catalogue."""
        return self._catalogue

    @property
    def known(self) -> bool:
        """Whether any version has been seen."""
        return self._catalogue.version > 0

    def consider(
        self, catalogue: Catalogue, *, era: int = 0, written_in_era: bool = False
    ) -> CatalogueVerdict:
        """Activates a catalogue of the store if it replaces the active one.

        Args:
            catalogue: The catalogue that the store holds.
            era: Era of the store in which it was read.
            written_in_era: Whether it was certainly written in that era, not copied into it.
        """
        seen = catalogue.fingerprint in self._seen
        self._remember(catalogue)
        if catalogue.version > self._catalogue.version:
            return self._activate(catalogue, era)
        if era <= self._era:
            return CatalogueVerdict.IGNORED
        if catalogue.version == self._catalogue.version:
            if catalogue.fingerprint != self._fingerprint:
                return self._activate(catalogue, era)
            self._era = era
            return CatalogueVerdict.IGNORED
        return CatalogueVerdict.DOUBTFUL if written_in_era or not seen else CatalogueVerdict.IGNORED

    def replace(self, catalogue: Catalogue, *, era: int) -> None:
        """Activates a catalogue that has been doubtful for long enough."""
        self._activate(catalogue, era)

    def need_keys(self) -> bool:
        """Records that a version has called for keys; returns whether that was unknown."""
        if self._keys_needed:
            return False
        self._keys_needed = True
        self._catalogue = replace(self._catalogue, keys_needed=True)
        return True

    def _activate(self, catalogue: Catalogue, era: int) -> CatalogueVerdict:
        self._keys_needed = self._keys_needed or catalogue.keys_needed
        self._fingerprint = catalogue.fingerprint
        self._catalogue = replace(catalogue, keys_needed=self._keys_needed)
        self._era = max(era, self._era)
        return CatalogueVerdict.ACTIVE

    def _remember(self, catalogue: Catalogue) -> None:
        self._seen[catalogue.fingerprint] = None
        while len(self._seen) > REMEMBERED_CATALOGUES:
            self._seen.popitem(last=False)
