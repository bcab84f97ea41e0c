"""State machine test of session tokens."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from wigeonpoint.backend import LogPosition
from wigeonpoint.connection import SessionTokens, TokenSigner
from wigeonpoint.errors import InvalidRequest, ResultCode

GROUPS = st.sampled_from(["plans", "rota", "lessons"])
POSITIONS = st.builds(LogPosition, st.integers(1, 5), st.integers(1, 50))


class SessionTokenMachine(RuleBasedStateMachine):
    """Tokens that pass through instances while signing keys are rotated.

    Guards against a group's position that goes back or is lost by a key rotation.
    """

    @initialize()
    def begin(self) -> None:
        self.keys = {"k0": "secret-0"}
        self.active = "k0"
        self.highest: dict[str, LogPosition] = {}
        self.token = self._tokens().encode(self._tokens().decode(None))
        self.session_id = self._tokens().decode(self.token).id

    @rule(group=GROUPS, at=POSITIONS)
    def answer(self, group: str, at: LogPosition) -> None:
        session = self._tokens().decode(self.token)
        before = dict(session.positions)
        session.advance(group, at)
        self.highest[group] = max(at, self.highest.get(group, at))
        assert all(session.positions[name] >= old for name, old in before.items())
        assert session.positions == self.highest
        assert session.id == self.session_id
        self.token = self._tokens().encode(session)

    @rule()
    def add_key_and_make_it_active(self) -> None:
        self.active = f"k{len(self.keys)}"
        self.keys[self.active] = f"secret-{len(self.keys)}"

    @rule(position=st.integers(0, 200))
    def changed_token_is_refused(self, position: int) -> None:
        index = position % len(self.token)
        other = "A" if self.token[index] != "A" else "B"
        changed = self.token[:index] + other + self.token[index + 1 :]
        try:
            session = self._tokens().decode(changed)
        except InvalidRequest as error:
            assert error.code is ResultCode.INVALID_SESSION_TOKEN
        else:  # the last base64 character of a signature has unused bits
            assert session.positions == self.highest

    @rule()
    def tokens_of_other_keys_are_refused(self) -> None:
        other_tokens = SessionTokens(
            TokenSigner({self.active: "x"}, self.active, purpose="session")
        )
        try:
            other_tokens.decode(self.token)
        except InvalidRequest:
            return
        raise AssertionError("a token verified with another key")

    def _tokens(self) -> SessionTokens:
        return SessionTokens(TokenSigner(self.keys, self.active, purpose="session"))


SessionTokenMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestSessionTokens = SessionTokenMachine.TestCase
