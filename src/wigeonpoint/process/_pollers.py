"""The instances of a data centre that read the platform on behalf of the others."""

from __future__ import annotations

from collections.abc import Iterable

from wigeonpoint.version import InstanceRecord, rendezvous_weight

POLLERS = 2  # in each data centre, so that one may fail without a gap
LIST_KEY = "directory"
TABLES_KEY = "configuration-poller"


def list_pollers(local: Iterable[InstanceRecord]) -> set[str]:
    """Ids of the instances that read the platform's list, among those of a data centre."""
    return _chosen(LIST_KEY, (instance.id for instance in local))


def table_pollers(local: Iterable[InstanceRecord]) -> set[str]:
    """Ids of the instances that read the tables, among those of a data centre.

    They are others than the pollers of the list where there are enough instances: both together
    would exceed the bytes that control work may use.
    """
    ids = {instance.id for instance in local}
    others = ids - _chosen(LIST_KEY, ids)
    return _chosen(TABLES_KEY, others if len(others) >= POLLERS else ids)


def _chosen(key: str, ids: Iterable[str]) -> set[str]:
    return set(sorted(ids, key=lambda one: (rendezvous_weight(key, one), one))[-POLLERS:])
