"""Signed transaction ids, which name the instance that holds the transaction."""

from __future__ import annotations

from dataclasses import dataclass

from wigeonpoint.connection._signing import TokenSigner
from wigeonpoint.errors import InvalidRequest, ResultCode


@dataclass(frozen=True, slots=True)
class TransactionId:
    """Place of an open transaction.

    Attributes:
        address: Address of the owner instance.
        number: Number of the transaction at that instance.
        group: Name of the database group.
        route: Name of the route on which it was begun.
        term: Term of the primary when it was begun.
        server_id: Backend server on which it is open.
        answered: Number of its requests whose answers the caller with this id has.
    """

    address: str
    number: str
    group: str
    route: str
    term: int = 0
    server_id: str = ""
    answered: int = 0


class TransactionIds:
    """Encodes and verifies transaction ids.

    Args:
        signer: Signs and verifies the ids.
    """

    def __init__(self, signer: TokenSigner) -> None:
        self._signer = signer

    def encode(self, transaction: TransactionId) -> str:
        """Encodes and signs an id."""
        return self._signer.encode(
            [
                transaction.address,
                transaction.number,
                transaction.group,
                transaction.route,
                transaction.term,
                transaction.server_id,
                transaction.answered,
            ]
        )

    def decode(self, text: str) -> TransactionId:
        """Verifies and decodes an id.

        Raises:
            InvalidRequest: UNKNOWN_TRANSACTION if the id does not verify.
        """
        try:
            return TransactionId(*self._signer.decode(text))
        except ValueError as error:
            raise InvalidRequest(
                ResultCode.UNKNOWN_TRANSACTION, "the transaction id does not verify"
            ) from error
