"""Finds out which customer a caller belongs to, and whether it may be served."""

from __future__ import annotations

from collections.abc import Callable

from wigeonpoint.connection.session import CallerSession
from wigeonpoint.request.session import Refusal, Reply, refuse_statement
from wigeonpoint.version.catalogue import Catalogue, Customer, DatabaseRoute

UNCERTAIN_RETRY_MS = 200


class Authenticator:
    """Checks callers' keys against the active catalogue.

    Keys are looked up by their digests, so that the time that a check takes tells nothing of a key.

    Args:
        catalogue: Returns the active catalogue.
        uncertain: Tells whether keys may have been taken away without this instance knowing, and
            callers that need them are to be refused meanwhile.
    """

    def __init__(
        self, catalogue: Callable[[], Catalogue], uncertain: Callable[[], bool] = lambda: False
    ) -> None:
        self._catalogue = catalogue
        self._uncertain = uncertain

    def customer(self, key_digest: bytes) -> Customer | None:
        """The customer with a key, None if there is none."""
        return self._catalogue().customer_of(key_digest)

    def refusal(self, route: DatabaseRoute, key_digest: bytes) -> Reply | None:
        """The refusal of a caller, None if it may be served.

        Args:
            route: Route of the caller's database.
            key_digest: Digest of the key that it presented, empty if it presented none.
        """
        if not self._needs_key(route):
            return None
        if self.customer(key_digest) is None:
            return refuse_statement(Refusal.UNAUTHENTICATED, "the key is not known")
        if self._uncertain():
            return refuse_statement(
                Refusal.UNAVAILABLE,
                "this instance cannot tell whether keys have been taken away",
                retry_after_ms=UNCERTAIN_RETRY_MS,
            )
        return None

    def revoked(self, session: CallerSession) -> bool:
        """Whether a session must end, as its caller may not be served any longer."""
        return self._needs_key_for(session) and self.customer(session.key_digest) is None

    def transaction_revoked(self, session: CallerSession) -> bool:
        """Whether a session's open transaction must end.

        That is also so if its key has gone to another customer: members were told the first one.
        """
        if self._needs_key_for(session) and self._uncertain():
            return True
        customer = self.customer(session.key_digest)
        return self.revoked(session) or _name(customer) != _name(session.customer)

    def _needs_key_for(self, session: CallerSession) -> bool:
        route = self._catalogue().routes.get(session.database)
        return route is not None and self._needs_key(route)

    def _needs_key(self, route: DatabaseRoute) -> bool:
        return self._catalogue().keys_needed and not route.public


def _name(customer: Customer | None) -> str:
    return customer.name if customer is not None else ""
