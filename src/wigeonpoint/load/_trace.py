"""Traces of arriving requests: files, and generation from a seed."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from types import MappingProxyType

from pydantic import TypeAdapter, ValidationError

from wigeonpoint.errors import ResultCode, SettingsError
from wigeonpoint.request import Access, Rank

CALLERS = 8
# Arrival rates by rank in calm operation, as shares of capacity. Servers are sized to run well
# below their capacity.
CALM_SHARES: Mapping[Rank, float] = MappingProxyType(
    {Rank.URGENT: 0.2, Rank.STANDARD: 0.3, Rank.BULK: 0.2}
)
DEADLINES_MS: Mapping[Rank, int] = MappingProxyType(
    {Rank.URGENT: 1000, Rank.STANDARD: 2000, Rank.BULK: 5000}
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace.

    Attributes:
        at_s: Seconds after the start of the trace.
        route: Name of the route.
        rank: Rank of the request.
        caller: Name of the caller.
        access: Read or write.
        max_age_ms: Maximum age in milliseconds of the data of a read, or None.
        deadline_ms: Deadline in milliseconds after the arrival.
        text: Text of the statement.
    """

    at_s: float
    route: str
    rank: Rank
    caller: str
    access: Access
    max_age_ms: int | None = None
    deadline_ms: int = 5000
    text: str = "GET k"

    @property
    def kind(self) -> str:
        """`write`, `read`, or `aged read` for a read that accepts older data."""
        return "aged read" if self.max_age_ms else str(self.access)


class TraceKind(StrEnum):
    """Load shapes of generated traces."""

    CALM = "calm"
    BULK_FLOOD = "bulk-flood"
    URGENT_STORM = "urgent-storm"
    CALLER_FLOOD = "caller-flood"


_TRACE = TypeAdapter(list[Arrival])


def generate(
    kind: TraceKind,
    *,
    route: str,
    capacity: float,
    seconds: float,
    times: float = 1.0,
    seed: int = 1,
) -> list[Arrival]:
    """Generates a trace with Poisson arrivals.

    Args:
        kind: Load shape.
        route: Name of the route.
        capacity: Requests per second that the server can run.
        seconds: Length in seconds.
        times: Rate of the flood as a multiple of the capacity.
        seed: Seed of the random numbers.
    """
    generator = random.Random(seed)
    rates = {rank: share * capacity for rank, share in CALM_SHARES.items()}
    if kind is TraceKind.BULK_FLOOD:
        rates[Rank.BULK] = times * capacity
    elif kind is TraceKind.URGENT_STORM:
        rates[Rank.URGENT] = times * capacity
    arrivals = []
    for rank, rate in rates.items():
        arrivals += _poisson_arrivals(generator, route, rank, rate, seconds)
    if kind is TraceKind.CALLER_FLOOD:
        flood = _poisson_arrivals(
            generator, route, Rank.STANDARD, times * capacity, seconds, "flood"
        )
        arrivals += flood
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def read_trace(path: Path) -> list[Arrival]:
    """Reads a trace from a JSON file.

    Raises:
        SettingsError: SETTINGS_UNREADABLE or SETTINGS_INVALID.
    """
    try:
        return sorted(_TRACE.validate_json(path.read_bytes()), key=lambda arrival: arrival.at_s)
    except OSError as error:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, f"cannot read {path}") from error
    except ValidationError as error:
        raise SettingsError(ResultCode.SETTINGS_INVALID, f"{path}: {error}") from error


def write_trace(path: Path, trace: list[Arrival]) -> None:
    """Writes a trace to a JSON file."""
    path.write_bytes(_TRACE.dump_json(trace))


def _poisson_arrivals(
    generator: random.Random,
    route: str,
    rank: Rank,
    rate: float,
    seconds: float,
    caller: str | None = None,
) -> list[Arrival]:
    arrivals = []
    at_s = generator.expovariate(rate)
    while at_s < seconds:
        name = caller or f"caller-{generator.randrange(CALLERS)}"
        write = generator.random() < 0.5
        arrivals.append(
            Arrival(
                at_s=at_s,
                route=route,
                rank=rank,
                caller=name,
                access=Access.WRITE if write else Access.READ,
                deadline_ms=DEADLINES_MS[rank],
                text=f"PUT {name} {rank}" if write else f"GET {name}",
            )
        )
        at_s += generator.expovariate(rate)
    return arrivals
