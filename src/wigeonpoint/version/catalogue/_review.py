"""Finds entries of a catalogue that cannot take effect and limits that contradict each other."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from typing import Any

from wigeonpoint.errors import ResultCode
from wigeonpoint.version.catalogue._catalogue import Catalogue, Consistency, DatabaseRoute
from wigeonpoint.version.catalogue._customer import Customer


@dataclass(frozen=True, slots=True)
class Finding:
    """Something in a configuration that an operator should look at before it is sent.

    Attributes:
        code: Kind of the finding.
        entry: The entry that it concerns, such as `route orders`.
        message: What is wrong, and what to do.
    """

    code: ResultCode
    entry: str
    message: str


@dataclass(frozen=True, slots=True)
class Difference:
    """An entry that differs between two catalogues.

    Attributes:
        entry: The entry, such as `route orders`.
        change: `added`, `removed` or `changed`.
        fields: Names of the fields that differ, for a changed entry.
    """

    entry: str
    change: str
    fields: tuple[str, ...] = ()


def review_catalogue(catalogue: Catalogue) -> list[Finding]:
    """Reviews a catalogue that could be decoded.

    Returns:
        Entries that can never take effect, and limits that contradict each other.
    """
    return [
        *_review_routes(catalogue),
        *_review_services(catalogue),
        *_review_customers(catalogue),
    ]


def compare_catalogues(active: Catalogue, proposed: Catalogue) -> list[Difference]:
    """Compares a proposed catalogue with the active one, entry by entry.

    Keys of customers are compared as digests; they never appear in the result.
    """
    return [
        *_compare_limits(active, proposed),
        *_compare_entries("route", active.routes, proposed.routes),
        *_compare_entries("service", active.services, proposed.services),
        *_compare_entries("customer", active.customers, proposed.customers),
    ]


def _review_routes(catalogue: Catalogue) -> Iterator[Finding]:
    for route in catalogue.routes.values():
        entry = f"route {route.database}"
        if catalogue.services and route.service not in catalogue.services:
            yield Finding(
                ResultCode.ENTRY_WITHOUT_EFFECT,
                entry,
                f"service {route.service} is not listed, so its members have default limits",
            )
        yield from _review_route_limits(route, entry)


def _review_route_limits(route: DatabaseRoute, entry: str) -> Iterator[Finding]:
    if route.target_s <= 0 or route.timeout_s <= 0:
        yield _contradiction(entry, "the objective and the time limit must be above 0")
    if route.consistency is Consistency.CURRENT and route.max_age_s is not None:
        yield Finding(
            ResultCode.ENTRY_WITHOUT_EFFECT,
            entry,
            "reads of current data have no highest age, so the one given has no effect",
        )
    if route.consistency is not Consistency.CURRENT and not route.max_age_s:
        yield _contradiction(
            entry, "reads of aged data need a highest age; without one all go to the primary"
        )


def _review_services(catalogue: Catalogue) -> Iterator[Finding]:
    used = {route.service for route in catalogue.routes.values()}
    for service in catalogue.services.values():
        entry = f"service {service.name}"
        if service.name not in used:
            yield Finding(ResultCode.ENTRY_WITHOUT_EFFECT, entry, "no route names this service")
        if service.connection_limit < 1:
            yield _contradiction(entry, "members that accept no connections cannot be used")


def _review_customers(catalogue: Catalogue) -> Iterator[Finding]:
    holders: dict[bytes, str] = {}
    for customer in catalogue.customers.values():
        entry = f"customer {customer.name}"
        if not customer.key_digests:
            yield Finding(
                ResultCode.ENTRY_WITHOUT_EFFECT, entry, "it has no key, so no caller can use it"
            )
        for digest in customer.key_digests:
            holder = holders.setdefault(digest, customer.name)
            if holder != customer.name:
                yield _contradiction(entry, f"customer {holder} has one of its keys as well")
        yield from _review_quota(customer, entry)


def _review_quota(customer: Customer, entry: str) -> Iterator[Finding]:
    rate, burst = customer.operations_per_s, customer.burst
    if rate is None:
        if burst > 0:
            yield Finding(
                ResultCode.ENTRY_WITHOUT_EFFECT, entry, "a burst without a rate has no effect"
            )
        return
    if rate <= 0 and burst > 0:
        yield _contradiction(entry, f"a burst of {burst:g} operations is never refilled at rate 0")


def _contradiction(entry: str, message: str) -> Finding:
    return Finding(ResultCode.CONTRADICTING_LIMITS, entry, message)


def _compare_limits(active: Catalogue, proposed: Catalogue) -> Iterator[Difference]:
    names = ("transaction_idle_s", "message_bytes", "keys_needed")
    changed = tuple(name for name in names if getattr(active, name) != getattr(proposed, name))
    if changed:
        yield Difference("limits", "changed", changed)


def _compare_entries(
    kind: str, active: Mapping[str, Any], proposed: Mapping[str, Any]
) -> Iterator[Difference]:
    for name in sorted(active.keys() | proposed.keys()):
        entry = f"{kind} {name}"
        if name not in proposed:
            yield Difference(entry, "removed")
        elif name not in active:
            yield Difference(entry, "added")
        elif active[name] != proposed[name]:
            yield Difference(entry, "changed", _changed_fields(active[name], proposed[name]))


def _changed_fields(before: Any, after: Any) -> tuple[str, ...]:
    names = [field.name for field in fields(after)]
    return tuple(name for name in names if getattr(before, name) != getattr(after, name))
