"""The operations per window that the configuration allows to each customer."""

from __future__ import annotations

from collections.abc import Callable

from wigeonpoint.process.gateway._settings import QuotaSettings
from wigeonpoint.process.policy import operations_per_window
from wigeonpoint.version.catalogue import Catalogue


class QuotaTotals:
    """Operations per window of all customers with a limit.

    Args:
        catalogue: Returns the active catalogue.
        settings: How strictly the quotas hold.
    """

    def __init__(self, catalogue: Callable[[], Catalogue], settings: QuotaSettings) -> None:
        self._catalogue = catalogue
        self._settings = settings
        self._computed_for: Catalogue | None = None
        self._totals: dict[str, int] = {}

    @property
    def window_s(self) -> float:
        """Seconds of the sliding window."""
        return self._settings.window_s

    @property
    def any(self) -> bool:
        """Whether any customer has a limit."""
        return bool(self._current())

    def get(self, customer: str) -> int | None:
        """Operations per window of a customer, None if it has no limit."""
        return self._current().get(customer)

    def _current(self) -> dict[str, int]:
        catalogue = self._catalogue()
        if catalogue is not self._computed_for:
            self._computed_for = catalogue
            self._totals = {
                name: operations_per_window(
                    customer.operations_per_s,
                    customer.burst,
                    window_s=self._settings.window_s,
                    overrun=self._settings.overrun,
                    slack=self._settings.slack,
                )
                for name, customer in catalogue.customers.items()
                if customer.operations_per_s is not None
            }
        return self._totals
