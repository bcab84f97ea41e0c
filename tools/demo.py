"""Demo: kills the primary during writes, with stand-ins; exits 0 only if all promises held."""

from __future__ import annotations

import signal
import sys
import time
from collections import Counter

from tools.cluster import Cluster, call, wait_until
from tools.workload import Tally, TaskCallers

INSTANCES = ("chur-1", "chur-2", "sargans-1", "sargans-2")
GROUP = "signplan-0"
ROUTE = "closures"
CALM_S = 3.0
GAP_LIMIT_S = 6.0
WAIT_FOR_RECOVERY_S = 20.0


def start(cluster: Cluster) -> None:
    """Starts two data centres with two instances each, and one group of three members."""
    cluster.add_group(GROUP, ["chur", "sargans", "chur"])
    cluster.put_rows("pools", {"plans": {"group": GROUP}})
    cluster.put_rows("routes", {ROUTE: {"pool": "plans"}})
    for name in INSTANCES:
        cluster.add_instance(name, name.split("-")[0])
    cluster.wait_ready(*INSTANCES)


def check_read_on_other_instance(cluster: Cluster) -> bool:
    """Writes on one instance and reads on an instance in another data centre.

    Returns:
        Whether the read returned the written value.
    """
    written = cluster.statement(
        "chur-1", route=ROUTE, text="PUT closure-17 ?", parameters=["closed"], access="write"
    )
    read = cluster.statement(
        "sargans-1",
        route=ROUTE,
        text="GET closure-17",
        access="read",
        session=written.body.get("session"),
    )
    print(f"write on chur-1: {written.body['outcome']}")
    print(f"read on sargans-1: {read.body.get('rows')} from {read.body.get('served_by')}")
    return bool(read.body.get("rows") == ["closed"])


def stored_tasks(cluster: Cluster) -> Counter[str]:
    """Returns the tasks stored by the member with the highest term, with their counts."""
    members = []
    for name, process in cluster.processes.items():
        if name.startswith(GROUP) and process.handle.poll() is None:
            members.append(call("GET", f"http://{process.address}/data").body)
    primary = max(members, key=lambda member: member["status"]["log_term"])
    lists = [value for key, value in primary["data"].items() if key.startswith("tasks-")]
    return Counter(task for tasks in lists for task in tasks)


def report(tally: Tally, stored: Counter[str], gap: float | None) -> bool:
    """Prints the results; returns whether every promise held."""
    missing = set(tally.acknowledged) - set(stored)
    repeated = [task for task, count in stored.items() if count > 1]
    unacknowledged = set(stored) - set(tally.acknowledged)
    share = tally.replica_reads / tally.reads if tally.reads else 0.0
    print(f"acknowledged writes: {len(tally.acknowledged)}")
    print(f"found in the database: {len(stored)}")
    print(f"missing: {len(missing)}, run twice: {len(repeated)}, stale reads: {tally.stale_reads}")
    print(f"outcome unknown: {len(tally.unresolved)}, unacknowledged: {len(unacknowledged)}")
    print(f"failover gap: {'none' if gap is None else f'{gap:.2f} s'} (limit {GAP_LIMIT_S:.0f} s)")
    print(f"reads on replicas: {share:.1%} of {tally.reads}")
    print(f"answers: {dict(sorted(tally.outcomes.items()))}")
    return (
        not missing
        and not repeated
        and not unacknowledged
        and not tally.unresolved
        and tally.stale_reads == 0
        and gap is not None
        and gap <= GAP_LIMIT_S
        and len(stored) == len(tally.acknowledged)
    )


def main() -> int:
    """Runs the demo; returns the exit status."""
    with Cluster() as cluster:
        start(cluster)
        consistent = check_read_on_other_instance(cluster)
        callers = TaskCallers(cluster, ROUTE, list(INSTANCES))
        callers.start()
        time.sleep(CALM_S)
        print(f"killing the primary {GROUP}-0 during a stream of writes")
        killed_at = time.monotonic()
        cluster.processes[f"{GROUP}-0"].send_signal(signal.SIGKILL)
        gap = callers.wait_for_acknowledgement_after(killed_at + 0.05, WAIT_FOR_RECOVERY_S)
        gap = None if gap is None else gap + 0.05
        time.sleep(CALM_S)
        tally = callers.finish()
        wait_until(lambda: stored_tasks(cluster) is not None, "stored tasks")
        all_held = report(tally, stored_tasks(cluster), gap) and consistent
    print("every promise held" if all_held else "a promise was broken")
    return 0 if all_held else 1


if __name__ == "__main__":
    sys.exit(main())
