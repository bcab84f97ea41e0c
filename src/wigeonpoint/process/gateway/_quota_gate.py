"""Whether a customer may start another operation."""

from __future__ import annotations

from typing import Protocol

from wigeonpoint.connection.session import CallerSession
from wigeonpoint.request.session import SessionStatement, Verb
from wigeonpoint.version.catalogue import Customer

_FIRST_OF_OPERATION = frozenset({Verb.BEGIN, Verb.BEGIN_READ, Verb.READ, Verb.WRITE, Verb.EXECUTE})


class QuotaGate(Protocol):
    """Counts the operations of customers that callers of this instance start."""

    async def admit(self, customer: Customer) -> float:
        """Counts one operation if it is within the customer's quota.

        It may wait for a short time until another instance has given a part of the quota back.

        An operation is a statement outside a transaction, or a whole transaction.

        Returns:
            0 if the operation may start, otherwise the seconds after which one is expected to be
            within the quota again.
        """
        ...


class UnlimitedQuota:
    """Implements `QuotaGate` where no customer has a quota."""

    async def admit(self, customer: Customer) -> float:
        """Returns 0: every operation may start."""
        return 0.0


def starts_operation(session: CallerSession, statement: SessionStatement) -> bool:
    """Whether a statement begins what counts as one operation of a customer's quota."""
    if session.transaction is not None:
        return False
    if statement.verb is Verb.EXECUTE and statement.name not in session.prepared:
        return False  # refused without an operation
    return statement.verb in _FIRST_OF_OPERATION
