"""Place of a request in its transaction, by which the owner detects a lost statement."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StatementSequence:
    """Sequence numbers of a statement or commit in its transaction.

    Only the caller knows of a statement that never reached the owner, and only an answer proves
    that the caller knows the result of one that did. Both numbers are therefore needed.

    Attributes:
        number: Requests that the caller has sent in the transaction, this one included.
        answered: Requests whose answers the caller has, as signed into its transaction id.
    """

    number: int
    answered: int

    def follows(self, admitted: int) -> bool:
        """Whether this is the next request after `admitted` ones that the owner has accepted."""
        return self.answered == admitted and self.number == admitted + 1
