"""Chooses the instances of a data centre that poll the platform for the others."""

from __future__ import annotations

from collections.abc import Iterable

from wigeonpoint.version import InstanceRecord, rendezvous_weight

POLLERS_PER_DATA_CENTRE = 2  # one may fail without interrupting the polls
DIRECTORY_KEY = "directory"
TABLES_KEY = "configuration-poller"


def directory_pollers(local: Iterable[InstanceRecord]) -> set[str]:
    """Ids of the instances that poll the platform's directory, among those of a data centre."""
    return _choose(DIRECTORY_KEY, (instance.id for instance in local))


def table_pollers(local: Iterable[InstanceRecord]) -> set[str]:
    """Ids of the instances that poll the tables, among those of a data centre.

    They differ from the directory's pollers where there are enough instances, since one instance
    that did both would exceed the traffic allowed for control tasks.
    """
    ids = {instance.id for instance in local}
    others = ids - _choose(DIRECTORY_KEY, ids)
    return _choose(TABLES_KEY, others if len(others) >= POLLERS_PER_DATA_CENTRE else ids)


def _choose(key: str, ids: Iterable[str]) -> set[str]:
    return set(
        sorted(ids, key=lambda one: (rendezvous_weight(key, one), one))[-POLLERS_PER_DATA_CENTRE:]
    )
