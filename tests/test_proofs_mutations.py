"""Checks that the proofs of promises fail when the mechanism behind the promise is disabled."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.replay import VirtualDriver, read_trace, replay
from tests.replay._replayer import violations
from tests.test_configuration_spread import TestSpread as SpreadTests
from tests.test_late_answers import TestCrossedAnswers as CrossedAnswers
from wigeonpoint.backend import LogPosition
from wigeonpoint.channel import JsonChannel
from wigeonpoint.connection import Transactions
from wigeonpoint.connection._statement_sequence import StatementSequence
from wigeonpoint.process import _topology
from wigeonpoint.process._attempt import RequestAttempt
from wigeonpoint.process._configuration_feed import ConfigurationFeed
from wigeonpoint.process._drain import Drain
from wigeonpoint.process._position_samples import PositionSamples
from wigeonpoint.standins import DatabaseMemberStandIn
from wigeonpoint.version import BackendServer, GroupConfirmer, GroupView
from wigeonpoint.version._group_membership import GroupMembership

MAX_TRACE_S = 20.0  # violations show within this time; later ends of partitions are kept
REPLAYS = 4  # the violation must show in one of them

Mutation = Callable[[pytest.MonkeyPatch], None]


def _ignore_session_positions(patch: pytest.MonkeyPatch) -> None:
    first = LogPosition(1, 1)
    patch.setattr(RequestAttempt, "required", property(lambda self: first))


def _treat_any_age_as_proved(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(PositionSamples, "age", lambda self, at, now: 0.0)


def _confirm_with_one_member(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(GroupConfirmer, "majority", 1)
    patch.setattr(GroupMembership, "has_majority", lambda self, found: True)


def _accept_any_session(patch: pytest.MonkeyPatch) -> None:
    find = Transactions.find

    def find_any(self: Transactions, number: str, session_id: str) -> Any:
        found = self._open.get(number)
        return found if found is not None else find(self, number, session_id)

    patch.setattr(Transactions, "find", find_any)
    patch.setattr(StatementSequence, "follows", lambda self, admitted: True)


def _forget_unresolved_attempts(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RequestAttempt, "outcome", lambda self, error: error)


def _forget_request_ids(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        DatabaseMemberStandIn, "_recorded_answer", lambda self, request_id, fingerprint: None
    )


def _ignore_leaving(patch: pytest.MonkeyPatch) -> None:
    def live(listing: Any) -> BackendServer:
        return BackendServer(listing.id, listing.address, listing.data_centre, listing.group)

    patch.setattr(_topology, "_server", live)
    patch.setattr(GroupView, "note_leaving", lambda self, server_id: None)


def _close_without_waiting(patch: pytest.MonkeyPatch) -> None:
    async def run(self: Drain, **options: Any) -> None:
        return None

    patch.setattr(Drain, "run", run)


def _match_answers_by_order(patch: pytest.MonkeyPatch) -> None:
    def resolve(self: JsonChannel, frame: dict[str, Any]) -> None:
        waiting = [answer for answer in self._pending.values() if not answer.done()]
        waiting[0].set_result(frame["body"])

    patch.setattr(JsonChannel, "_resolve", resolve)


def _apply_any_number(patch: pytest.MonkeyPatch) -> None:
    def apply(self: ConfigurationFeed, state: Any) -> None:
        if state is not None:
            self._state = state

    patch.setattr(ConfigurationFeed, "_apply", apply)


MUTATED_TRACES = {
    "1-session-positions-ignored": (
        _ignore_session_positions,
        "sessions-while-one-replica-is-far-behind",
        "stale_reads",
    ),
    "1-ages-not-proved": (
        _treat_any_age_as_proved,
        "aged-readers-in-a-cut-off-data-centre",
        "stale_reads",
    ),
    "2-confirmation-by-one-member": (
        _confirm_with_one_member,
        "primary-data-centre-cut-off",
        "missing",
    ),
    "3-sessions-of-transactions-not-compared": (
        _accept_any_session,
        "transactions-with-dropped-connections",
        "wrong_answers",
    ),
    "5-unresolved-attempts-forgotten": (
        _forget_unresolved_attempts,
        "connections-dropped-as-the-primary-dies",
        "not_run_that_ran",
    ),
    "6-request-ids-not-recorded": (
        _forget_request_ids,
        "dropped-connections-around-writes",
        "run_twice",
    ),
    "7-leaving-ignored": (
        _ignore_leaving,
        "member-reports-leaving-and-is-listed-late",
        "work_after_leaving",
    ),
    "8-shutdown-without-waiting": (
        _close_without_waiting,
        "instances-replaced-under-load-and-transactions",
        "cut_off_requests",
    ),
}


async def _replay_violations(name: str) -> list[str]:
    """Replays the beginning of a trace and returns its violations."""
    trace = read_trace(name)
    trace.steps = [
        step.model_copy(update={"seconds": min(step.seconds, MAX_TRACE_S)})
        for step in trace.steps
        if step.at <= MAX_TRACE_S or step.do == "heal"
    ]
    driver = VirtualDriver(trace)
    await driver.start()
    try:
        findings = await replay(trace, driver)
    finally:
        await driver.close()
    return violations(trace, findings)


class TestSwitchedOffMechanism:
    """Guards against proofs that pass even without the mechanism that they are about."""

    @pytest.mark.looptime(noop_cycles=0)
    @pytest.mark.parametrize(
        ("mutate", "name", "violation"), MUTATED_TRACES.values(), ids=MUTATED_TRACES
    )
    async def test_trace_detects_violation(
        self, mutate: Mutation, name: str, violation: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Expects the violation that the mechanism prevents in one of several replays.

        Ids and pauses of membership differ between replays. In some of them, an instance that
        closes at once has no open request at that moment, so that no violation shows.
        """
        mutate(monkeypatch)
        found: list[str] = []
        for _ in range(REPLAYS):
            found = await _replay_violations(name)
            if any(one.startswith(f"{violation}:") for one in found):
                return
        pytest.fail(f"no {violation} in {REPLAYS} replays; the last one had {found}")

    @pytest.mark.looptime
    async def test_crossed_answers_are_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Promise 4: expects a failure if answers are matched to requests by order, not by id."""
        _match_answers_by_order(monkeypatch)
        with pytest.raises(AssertionError):
            await CrossedAnswers().test_each_request_gets_its_own_answer()

    @pytest.mark.looptime
    async def test_older_configuration_is_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Promise 9: expects a failure if an older state from a stale peer is applied."""
        _apply_any_number(monkeypatch)
        with pytest.raises(AssertionError):
            await SpreadTests().test_stale_offers_are_not_applied()
