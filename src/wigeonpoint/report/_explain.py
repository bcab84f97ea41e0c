"""Finds the log lines of several instances that explain the outcome of one request."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

import orjson

from wigeonpoint.events import Event
from wigeonpoint.request.session import Refusal

# Seconds around the request in which other log lines may explain it. Events that change the state
# of an instance, such as a lost lease, affect requests that arrive much later.
CONTEXT_BEFORE_S = 3.0
INSTANCE_CONTEXT_BEFORE_S = 10.0
CONTEXT_AFTER_S = 0.5
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
_HIDDEN = frozenset({"time", "level", "message", "event", "instance", "request"})

# Events of an instance, which concern all requests that it runs.
_INSTANCE_EVENTS = frozenset(
    event.number
    for event in (
        Event.INSTANCE_STARTED,
        Event.INSTANCE_STOPPING,
        Event.LEASE_LOST,
        Event.LEASE_REGAINED,
        Event.PEER_LOST,
        Event.STORE_UNREACHABLE,
        Event.STORE_REACHABLE,
        Event.CATALOGUE_APPLIED,
        Event.KEYS_REVOKED,
        Event.KEYS_UNCERTAIN,
        Event.RETRY_BUDGET_EMPTY,
        Event.RELAY_UNAVAILABLE,
    )
)
# Events of a group or of a member, which concern only the requests that use it.
_GROUP_EVENTS = frozenset(
    event.number
    for event in (
        Event.LEADERSHIP_ADOPTED,
        Event.REPLACEMENT_STARTED,
        Event.PROMOTION_CLAIMED,
        Event.CLAIM_UNCONFIRMED,
        Event.PRIMARY_PROMOTED,
        Event.HANDOVER_ENDED,
        Event.PROMOTION_FAILED,
    )
)
_MEMBER_EVENTS = frozenset(
    event.number
    for event in (Event.MEMBER_UNREACHABLE, Event.MEMBER_REACHABLE, Event.MEMBER_REFUSED)
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of an instance's log.

    Attributes:
        at: Time of the line.
        instance: Name of the instance.
        event: Number of the event.
        message: Sentence of the event.
        fields: All fields of the line, those above included.
    """

    at: datetime
    instance: str
    event: int
    message: str
    fields: dict[str, object]

    @property
    def request(self) -> str | None:
        """Id of the request that the line is about, or None."""
        value = self.fields.get("request")
        return value if isinstance(value, str) else None

    def __str__(self) -> str:
        rest = " ".join(f"{k}={v}" for k, v in self.fields.items() if k not in _HIDDEN)
        clock = self.at.strftime("%H:%M:%S.%f")[:-3]
        return f"{clock} {self.instance} {self.event} {self.message} {rest}".rstrip()


@dataclass(frozen=True, slots=True)
class Explanation:
    """Log lines that explain the outcome of one request.

    Attributes:
        lines: Lines of the request itself, in order of time.
        context: Lines about the instances, group and members that it used, in order of time.
        cause: The line of the context that most likely explains the outcome, or None.
    """

    lines: list[LogLine]
    context: list[LogLine]
    cause: LogLine | None


def parse_log(lines: Iterable[str]) -> list[LogLine]:
    """Parses log lines, ignoring text before the JSON object of a line.

    Lines without such an object are skipped, because a log may hold output of other programs.
    """
    parsed = (_parse(line) for line in lines)
    return [line for line in parsed if line is not None]


def explain_request(request: str, lines: Iterable[LogLine]) -> Explanation:
    """Finds the log lines of a request, their context and the likely cause of its outcome.

    Args:
        request: Id of the request.
        lines: Log lines of all instances.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.request == request]
    if not own:
        return Explanation([], [], None)
    context = [line for line in ordered if _is_context(line, own)]
    return Explanation(own, context, _cause(own, context))


def _parse(line: str) -> LogLine | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(line[start:])
        at = datetime.strptime(fields["time"], _TIME_FORMAT)
        return LogLine(at, fields["instance"], int(fields["event"]), fields["message"], fields)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None


def _is_context(line: LogLine, own: list[LogLine]) -> bool:
    """Whether a line may explain the outcome of the request whose own lines are given."""
    if line.request is not None:
        return False
    first, last = own[0], own[-1]
    earliest = first.at.timestamp() - (
        INSTANCE_CONTEXT_BEFORE_S if line.event in _INSTANCE_EVENTS else CONTEXT_BEFORE_S
    )
    if not earliest <= line.at.timestamp() <= last.at.timestamp() + CONTEXT_AFTER_S:
        return False
    if line.event in _INSTANCE_EVENTS:
        return line.instance in {one.instance for one in own}
    if line.event in _GROUP_EVENTS:
        return line.fields.get("group") in _values(own, "group")
    if line.event in _MEMBER_EVENTS:
        same_instance = line.instance in {one.instance for one in own}
        return same_instance and (
            line.fields.get("member") in _named_members(own) or not _named_members(own)
        )
    return False


def _cause(own: list[LogLine], context: list[LogLine]) -> LogLine | None:
    """The newest line of the most likely kind of cause, or the last line before the outcome."""
    outcome = own[-1]
    candidates = _MEMBER_EVENTS | _GROUP_EVENTS | _INSTANCE_EVENTS
    before = [line for line in context if line.at <= outcome.at and line.event in candidates]
    unauthenticated = outcome.fields.get("refusal") == Refusal.UNAUTHENTICATED.name.lower()
    for event in _CAUSES_OF_REFUSED_KEYS if unauthenticated else _CAUSES_BY_LIKELIHOOD:
        for line in reversed(before):
            if line.event == event.number:
                return line
    return before[-1] if before else None


# A replaced primary explains an outcome better than an unreachable member does, and that better
# than an empty retry budget.
_CAUSES_BY_LIKELIHOOD = (
    Event.REPLACEMENT_STARTED,
    Event.LEASE_LOST,
    Event.MEMBER_UNREACHABLE,
    Event.RETRY_BUDGET_EMPTY,
    Event.KEYS_UNCERTAIN,
)
_CAUSES_OF_REFUSED_KEYS = (Event.CATALOGUE_APPLIED, Event.KEYS_REVOKED)


def _values(lines: list[LogLine], field: str) -> set[object]:
    return {line.fields[field] for line in lines if line.fields.get(field) is not None}


def _named_members(lines: list[LogLine]) -> set[object]:
    """Members that the lines name, in the field `member` or after that word in their reason."""
    members = _values(lines, "member")
    for reason in _values(lines, "reason"):
        words = str(reason).split()
        members.update(
            word for before, word in zip(words, words[1:], strict=False) if before == "member"
        )
    return members
