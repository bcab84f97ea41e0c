"""Session tokens, which hold the highest log position seen in each database group."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection._signing import TokenSigner
from wigeonpoint.errors import InvalidRequest, ResultCode

SESSION_ID_BYTES = 9


@dataclass(slots=True)
class Session:
    """A caller's session.

    Attributes:
        id: Random id; transactions belong to one session id.
        positions: Highest log position seen, by database group.
    """

    id: str
    positions: dict[str, LogPosition] = field(default_factory=dict)

    @classmethod
    def begin(cls) -> Session:
        """Creates a session with a new id and no positions."""
        return cls(secrets.token_urlsafe(SESSION_ID_BYTES))

    def advance(self, group: str, at: LogPosition) -> None:
        """Records a log position of a group; one that is not higher is ignored."""
        known = self.positions.get(group)
        if known is None or at > known:
            self.positions[group] = at


class SessionTokens:
    """Encodes and verifies session tokens.

    Args:
        signer: Signs and verifies the tokens.
    """

    def __init__(self, signer: TokenSigner) -> None:
        self._signer = signer

    def encode(self, session: Session) -> str:
        """Encodes a session as a token."""
        positions = {group: [at.term, at.position] for group, at in session.positions.items()}
        return self._signer.encode([session.id, positions])

    def decode(self, token: str | None) -> Session:
        """Decodes a token; None creates a new session.

        Raises:
            InvalidRequest: INVALID_SESSION_TOKEN if the token does not verify.
        """
        if token is None:
            return Session.begin()
        try:
            session_id, positions = self._signer.decode(token)
        except ValueError as error:
            raise InvalidRequest(
                ResultCode.INVALID_SESSION_TOKEN,
                "the session token does not verify; begin a new session",
            ) from error
        return Session(session_id, {group: LogPosition(*at) for group, at in positions.items()})
