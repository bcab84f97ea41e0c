"""Signed transaction ids, which name the owner that holds the transaction."""

from __future__ import annotations

from dataclasses import dataclass

from wigeonpoint.connection._signing import TokenSigner
from wigeonpoint.errors import InvalidRequest, ResultCode


@dataclass(frozen=True, slots=True)
class TransactionId:
    """Where an open transaction is.

    Attributes:
        address: Address of the owner instance.
        number: Number of the transaction there.
        group: Database group.
        route: Route that it was begun on.
        term: Term of the primary at its begin.
        server_id: Backend server that holds it.
        answered: Requests of it whose answers the holder of this id has.
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
        """Writes an id."""
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
        """Reads an id.

        Raises:
            InvalidRequest: UNKNOWN_TRANSACTION.
        """
        try:
            return TransactionId(*self._signer.decode(text))
        except ValueError as error:
            raise InvalidRequest(
                ResultCode.UNKNOWN_TRANSACTION, "the transaction id does not verify"
            ) from error
