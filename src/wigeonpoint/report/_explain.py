"""Joins the logs of several instances around one request."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

import orjson

from wigeonpoint.events import Event

# What an instance had come to believe before a request is older than the request itself.
BEFORE_S = 3.0
BELIEF_S = 10.0
AFTER_S = 0.5
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
_HIDDEN = frozenset({"time", "level", "message", "event", "instance", "request"})

# Events that tell what an instance believes, whichever request they concern.
_BELIEFS = frozenset(
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
        Event.RETRY_BUDGET_EMPTY,
    )
)
# Events that tell of a group or of a member, which only concern the requests that use it.
_OF_GROUP = frozenset(
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
_OF_MEMBER = frozenset(
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
        message: What happened.
        fields: The other fields.
    """

    at: datetime
    instance: str
    event: int
    message: str
    fields: dict[str, object]

    @property
    def request(self) -> str | None:
        """Id of the request that the line tells of."""
        value = self.fields.get("request")
        return value if isinstance(value, str) else None

    def __str__(self) -> str:
        rest = " ".join(f"{k}={v}" for k, v in self.fields.items() if k not in _HIDDEN)
        clock = self.at.strftime("%H:%M:%S.%f")[:-3]
        return f"{clock} {self.instance} {self.event} {self.message} {rest}".rstrip()


@dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs say of one request.

    Attributes:
        lines: Lines of the request itself, in order of time.
        context: Lines that tell what the instances that ran it believed, in order of time.
        cause: The line of the context that most likely stands behind its outcome, or None.
    """

    lines: list[LogLine]
    context: list[LogLine]
    cause: LogLine | None


def parse_log(lines: Iterable[str]) -> list[LogLine]:
    """Reads log lines; whatever stands before the JSON object of a line is left out.

    Lines that cannot be read are passed over, because a log may hold output of other programs.
    """
    parsed = (_parse(line) for line in lines)
    return [line for line in parsed if line is not None]


def explain_request(request: str, lines: Iterable[LogLine]) -> Explanation:
    """Finds what happened to a request, and what its instances believed meanwhile.

    Args:
        request: Id of the request.
        lines: Lines of all instances.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.request == request]
    if not own:
        return Explanation([], [], None)
    context = [line for line in ordered if _concerns(line, own)]
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


def _concerns(line: LogLine, own: list[LogLine]) -> bool:
    """Whether a line tells of what stood behind a request."""
    if line.request is not None:
        return False
    first, last = own[0], own[-1]
    began = first.at.timestamp() - (BELIEF_S if line.event in _BELIEFS else BEFORE_S)
    if not began <= line.at.timestamp() <= last.at.timestamp() + AFTER_S:
        return False
    if line.event in _BELIEFS:
        return line.instance in {one.instance for one in own}
    if line.event in _OF_GROUP:
        return line.fields.get("group") in _values(own, "group")
    if line.event in _OF_MEMBER:
        here = line.instance in {one.instance for one in own}
        return here and (line.fields.get("member") in _mentioned(own) or not _mentioned(own))
    return False


def _cause(own: list[LogLine], context: list[LogLine]) -> LogLine | None:
    """The newest line before the outcome that tells of a loss."""
    outcome = own[-1]
    suspects = _OF_MEMBER | _OF_GROUP | _BELIEFS
    before = [line for line in context if line.at <= outcome.at and line.event in suspects]
    for event in _BY_WEIGHT:
        for line in reversed(before):
            if line.event == event.number:
                return line
    return before[-1] if before else None


# A change of the group's primary explains more than a lost member, and that more than no retries.
_BY_WEIGHT = (
    Event.REPLACEMENT_STARTED,
    Event.LEASE_LOST,
    Event.MEMBER_UNREACHABLE,
    Event.RETRY_BUDGET_EMPTY,
)


def _values(lines: list[LogLine], field: str) -> set[object]:
    return {line.fields[field] for line in lines if line.fields.get(field) is not None}


def _mentioned(lines: list[LogLine]) -> set[object]:
    """Members that lines name, in a field or in their reason."""
    named = _values(lines, "member")
    for reason in _values(lines, "reason"):
        words = str(reason).split()
        named.update(
            word for before, word in zip(words, words[1:], strict=False) if before == "member"
        )
    return named
