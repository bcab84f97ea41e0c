"""Measures bytes and processor time of configuration states of several sizes; prints JSON.

Run from the root: `PYTHONPATH=src python -m tools.measure_configuration`.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import orjson

from wigeonpoint.errors import ConditionFailed
from wigeonpoint.services import Platform, Row, TableTransaction
from wigeonpoint.standins import MemoryDirectory, MemoryObjects, MemoryTables
from wigeonpoint.version import (
    ConfigurationState,
    ConfigurationStore,
    Edit,
    Editor,
    RowChange,
    RowValues,
    build_state,
    rows_digest,
    state_from_document,
)

SIZES = (725, 1450, 2900)  # pools, with as many routes
REPEATS = 7


class CountingTables(MemoryTables):
    """In-memory tables that record the size of the last transaction."""

    def __init__(self) -> None:
        super().__init__()
        self.last_bytes = 0

    async def transact(self, transaction: TableTransaction) -> None:
        """Applies a transaction and records its size in bytes of JSON."""
        self.last_bytes = len(orjson.dumps(asdict(transaction)))
        await super().transact(transaction)


def rows(count: int) -> tuple[RowValues, RowValues]:
    """Returns `count` routes and pools; every fourth row has optional fields."""
    routes: RowValues = {
        f"route-{index:05d}": {"pool": f"pool-{index:05d}"} for index in range(count)
    }
    pools: RowValues = {
        f"pool-{index:05d}": {"group": f"group-{index:05d}"} for index in range(count)
    }
    for index in range(0, count, 4):
        routes[f"route-{index:05d}"].update(rank="urgent", objective=0.995)
        pools[f"pool-{index:05d}"].update(slots=5, connections=50, shares={"bulk": 0.08})
    return routes, pools


def processor_ms(function: Callable[[], Any]) -> float:
    """Returns the median processor time of `REPEATS` calls, in milliseconds."""
    samples = []
    for _ in range(REPEATS):
        started = time.process_time()
        function()
        samples.append((time.process_time() - started) * 1000)
    return round(statistics.median(samples), 3)


def measure(count: int) -> dict[str, float]:
    """Measures a configuration state with `count` pools and as many routes."""
    routes, pools = rows(count)
    state = build_state(1, routes, pools)
    document = orjson.dumps(state.document)
    tracemalloc.start()
    loaded = state_from_document(orjson.loads(document))
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    state = loaded
    changed = {**routes, "route-00007": {"pool": "pool-00008"}}
    later = build_state(2, changed, pools, known=state)
    change = later.change_since(state)
    return {
        "pools": count,
        "document_bytes": len(document),
        "change_bytes": len(orjson.dumps(change)),
        "scan_of_both_tables_bytes": scan_bytes(routes, pools),
        "edit_transaction_bytes": asyncio.run(edit_bytes(state)),
        "state_memory_bytes": memory,
        "digest_ms": processor_ms(lambda: rows_digest(routes, pools)),
        "validate_whole_ms": processor_ms(lambda: build_state(1, routes, pools)),
        "validate_change_ms": processor_ms(lambda: build_state(2, changed, pools, known=state)),
        "apply_change_ms": processor_ms(lambda: state.apply(change)),
        "find_change_ms": processor_ms(lambda: later.change_since(state)),
        "load_document_ms": processor_ms(lambda: state_from_document(orjson.loads(document))),
    }


def scan_bytes(routes: RowValues, pools: RowValues) -> int:
    """Returns the bytes of JSON that a scan of both tables transfers."""
    found = [Row(key, value, 1) for table in (routes, pools) for key, value in table.items()]
    return len(orjson.dumps(found))


async def edit_bytes(state: ConfigurationState) -> int:
    """Returns the bytes of the transaction that edits one row of a state."""
    tables = CountingTables()
    store = ConfigurationStore(Platform(tables, MemoryObjects(), MemoryDirectory()))
    try:
        await store.commit(await store.head(), state, checks=[])
        change = RowChange("pools", "pool-extra", 0, {"group": "group-00000"})
        await Editor(store, lambda: state).apply(Edit("edit-1", [change]))
    except ConditionFailed as error:
        raise RuntimeError("the measured edit was not applied") from error
    return tables.last_bytes


def main() -> None:
    """Prints the results of each size, and their increase per pool and route."""
    results = [measure(count) for count in SIZES]
    first, last = results[0], results[-1]
    span = last["pools"] - first["pools"]
    slopes = {
        name: round((last[name] - first[name]) / span, 5) for name in first if name != "pools"
    }
    print(json.dumps({"sizes": results, "slope_for_a_pool_and_route": slopes}, indent=2))


if __name__ == "__main__":
    main()
