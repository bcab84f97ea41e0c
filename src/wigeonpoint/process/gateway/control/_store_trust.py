"""What the store may not tell of: changes lost in a restore, and unrecorded promotions."""

from __future__ import annotations

from wigeonpoint.version.catalogue import Leadership


class StoreTrust:
    """Tells which records in the store may not name the present primary.

    A store that was restored may have lost the newest change of primary. An instance that held a
    lease through the restore knows that change; one that has started since knows only what the
    store holds. Nor does the store hold a promotion that its claimant had given up.
    """

    def __init__(self) -> None:
        self._era = 0
        self._trusted_era = 0  # in which the store has lost no change that is unknown here
        self._era_known_since = float("-inf")
        self._unrecorded: dict[str, str] = {}

    def note_era(self, era: int, *, lease_valid: bool, now: float) -> None:
        """Records the era of the control rows.

        Args:
            era: The era.
            lease_valid: Whether this instance holds a lease, since before the era if that is new.
            now: Time in seconds.
        """
        if era <= self._era:
            return
        self._era = era
        self._era_known_since = now
        if lease_valid:
            self._trusted_era = era

    def note_unrecorded(self, group: str, member_id: str) -> None:
        """Records that a member leads its group though no record names it."""
        self._unrecorded[group] = member_id

    def note_record(self, group: str, leadership: Leadership) -> None:
        """Records that a newer record of a group is known."""
        unrecorded = self._unrecorded.get(group)
        if unrecorded is not None and leadership.primary == unrecorded:
            del self._unrecorded[group]

    def knows_all_since(self, now: float, *, seconds: float) -> bool:
        """Whether no change of the last seconds can have been lost without this instance knowing.

        Args:
            now: Time in seconds.
            seconds: How far changes matter.
        """
        return self._trusted_era == self._era or now - self._era_known_since >= seconds

    def is_doubtful(self, group: str, leadership: Leadership | None) -> bool:
        """Whether the members have to confirm the primary that the newest known record names."""
        if group in self._unrecorded:
            return True
        if self._trusted_era == self._era:
            return False
        return leadership is None or leadership.era != self._era
