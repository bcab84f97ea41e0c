"""Compares learned ownership of backend servers with plain rendezvous hashing; prints JSON.

Learning follows the two time scales of "Distributed Online Learning of Cooperative Caching in Edge
Cloud" (Lyu, Ren, Ni, Tian, Liu, Tao): each epoch averages a mini-batch of observations and makes
one stochastic-gradient step, with a decreasing step size, on a placement weight for each instance;
dispatch within the epoch is unchanged. The simulation is seeded. Run: `PYTHONPATH=src:. python -m
tools.trial_placement`.
"""

from __future__ import annotations

import functools
import heapq
import json
import math
import random
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import click

from wigeonpoint.version._servers import rendezvous_weight

EPOCHS_PER_HOUR = 12  # each mini-batch covers five minutes
OBSERVATIONS_PER_BATCH = 20
HOURS = 4
CHANGE_EPOCH = HOURS * EPOCHS_PER_HOUR // 2  # epoch in which the load pattern changes
CHANGED_SHARE = 1 / 3  # share of the servers that exchange their loads in that epoch
NOISE = 0.5  # standard deviation of the logarithm of an observation
HASH_RANGE = 2**64
ENTRY_COST, OWNER_COST, FORWARD_COST = 1.0, 1.0, 0.5  # processor work; both sides forward
OBSERVERS = 4  # instances that learn separately, as some observations reach them late
CANDIDATES_PER_SERVER = 16  # instances that may own a server
# Instances to which the callers of a server keep connections, drawn with repetition.
ARRIVALS_PER_SERVER = 4
LOCAL_PREFERENCE = 3.0  # preference for the instances at which statements for the server arrive

Placement = dict[str, str]


@dataclass(frozen=True)
class Deployment:
    """Size and load of a deployment.

    Attributes:
        name: Name in the results.
        instances: Number of instances by data centre.
        servers: Number of backend servers by data centre.
        skew: Exponent of the Zipf distribution of load over servers.
        replaced_per_hour: Number of instances that are replaced in an hour.
    """

    name: str
    instances: dict[str, int]
    servers: dict[str, int]
    skew: float
    replaced_per_hour: float


DEPLOYMENTS = [
    Deployment("ostschweiz", {"c": 2, "s": 1, "g": 2}, {"c": 3, "s": 3, "g": 3}, 0.8, 1),
    Deployment(
        "jm-north", {"o": 2, "r": 1, "b": 1, "a": 1}, {"o": 3, "r": 2, "b": 2, "a": 2}, 0.8, 1
    ),
    # 1,400 of 1,700 instances are replaced per day, which is 4.5 of 131 instances per hour.
    Deployment("one-data-centre-skew-0.4", {"d": 131}, {"d": 670}, 0.4, 4.5),
    Deployment("one-data-centre-skew-0.8", {"d": 131}, {"d": 670}, 0.8, 4.5),
]


@dataclass
class LoadModel:
    """Load of servers and arrival of statements at instances, which change over time.

    Attributes:
        deployment: Size and load of the deployment.
        keep_alive: Whether callers keep connections to a few instances; otherwise statements
            arrive evenly at all of them.
        source: Random numbers.
        instances: Data centre by id of the instance.
        servers: Data centre by id of the server.
        load: Load by server.
        arrivals: Instances at which statements for a server arrive, with their weights.
        started: Number of instances started so far.
    """

    deployment: Deployment
    keep_alive: bool
    source: random.Random
    instances: dict[str, str] = field(default_factory=dict)
    servers: dict[str, str] = field(default_factory=dict)
    load: dict[str, float] = field(default_factory=dict)
    arrivals: dict[str, Counter[str]] = field(default_factory=dict)
    started: int = 0

    def __post_init__(self) -> None:
        for data_centre, count in self.deployment.instances.items():
            for _ in range(count):
                self.start_instance(data_centre)
        for data_centre, count in self.deployment.servers.items():
            self.servers.update({f"{data_centre}-db-{n}": data_centre for n in range(count)})
        ranks = list(range(1, len(self.servers) + 1))
        self.source.shuffle(ranks)
        for server, rank in zip(self.servers, ranks, strict=True):
            self.load[server] = rank**-self.deployment.skew
        for server in self.servers:
            self._draw_arrivals(server)

    def start_instance(self, data_centre: str) -> None:
        """Adds an instance with a new id."""
        self.instances[f"{data_centre}-{self.started}"] = data_centre
        self.started += 1

    def replace_instance(self) -> None:
        """Replaces an instance by one with a new id; its callers connect to others."""
        lost = self.source.choice(list(self.instances))
        self.start_instance(self.instances.pop(lost))
        for server, shares in self.arrivals.items():
            if lost in shares:
                self._draw_arrivals(server)

    def change_pattern(self) -> None:
        """Exchanges the loads of `CHANGED_SHARE` of the servers."""
        changed = self.source.sample(list(self.servers), int(len(self.servers) * CHANGED_SHARE))
        loads = [self.load[server] for server in changed]
        self.load.update(zip(changed, loads[1:] + loads[:1], strict=True))

    def observe(self) -> dict[str, float]:
        """Returns the mean of a mini-batch of noisy observations of load, by server."""
        return {
            server: load
            * statistics.fmean(
                self.source.lognormvariate(0, NOISE) for _ in range(OBSERVATIONS_PER_BATCH)
            )
            for server, load in self.load.items()
        }

    def arrival_share(self, server: str, instance: str) -> float:
        """Returns the share of the statements for a server that arrive at an instance."""
        if not self.keep_alive:
            return 1 / len(self.instances)
        shares = self.arrivals[server]
        return shares[instance] / ARRIVALS_PER_SERVER

    def _draw_arrivals(self, server: str) -> None:
        self.arrivals[server] = Counter(
            self.source.choices(list(self.instances), k=ARRIVALS_PER_SERVER)
        )


class Learner:
    """Placement weights of instances, learned from observed processor work.

    Args:
        preference: Preference for instances at which statements for a server arrive; 0 for none.
        first_step: Size of the first gradient step.
    """

    def __init__(self, preference: float, first_step: float) -> None:
        self.preference = preference
        self.first_step = first_step
        self.weights: dict[str, float] = {}
        self._steps = 0

    def step(self, work: dict[str, float]) -> None:
        """Makes a gradient step on the squared relative deviation of the work of instances."""
        self._steps += 1
        mean = statistics.fmean(work.values())
        rate = self.first_step / math.sqrt(self._steps)
        for instance, amount in work.items():
            weight = self.weights.get(instance, 1.0)
            self.weights[instance] = weight * math.exp(-rate * (amount / mean - 1))

    def score(self, model: LoadModel, server: str, instance: str) -> float:
        """Returns the score of an instance; the one with the lowest score owns the server."""
        score = exponential_draw(server, instance) / self.weights.get(instance, 1.0)
        if self.preference:
            score *= math.exp(-self.preference * model.arrival_share(server, instance))
        return score


@functools.cache
def exponential_draw(server: str, instance: str) -> float:
    """Returns a hash of server and instance that is exponentially distributed.

    The instance with the lowest quotient of this value and its weight owns the server.
    """
    return -math.log((rendezvous_weight(server, instance) + 1) / HASH_RANGE)


def candidates(model: LoadModel) -> dict[str, list[str]]:
    """Returns the instances that may own each server, in order of their exponential draws.

    These are the instances of its data centre with the lowest draws.
    """
    local: dict[str, list[str]] = defaultdict(list)
    for instance, data_centre in model.instances.items():
        local[data_centre].append(instance)
    return {
        server: heapq.nsmallest(
            CANDIDATES_PER_SERVER, local[data_centre], key=lambda i: exponential_draw(server, i)
        )
        for server, data_centre in model.servers.items()
    }


def place(model: LoadModel, learner: Learner | None, allowed: dict[str, list[str]]) -> Placement:
    """Returns owners by rendezvous hashing, weighted if a learner is given."""
    if learner is None:
        return {server: instances[0] for server, instances in allowed.items()}
    return {
        server: min(instances, key=lambda i: learner.score(model, server, i))
        for server, instances in allowed.items()
    }


def work_of(model: LoadModel, load: dict[str, float], placement: Placement) -> dict[str, float]:
    """Returns the processor work of each instance."""
    even = 0.0 if model.keep_alive else sum(load.values()) / len(model.instances)
    work = dict.fromkeys(model.instances, even * (ENTRY_COST + FORWARD_COST))
    for server, owner in placement.items():
        local = model.arrival_share(server, owner)
        work[owner] += load[server] * (OWNER_COST + FORWARD_COST * (1 - 2 * local))
        if model.keep_alive:
            for instance in model.arrivals[server]:
                share = model.arrival_share(server, instance)
                work[instance] += load[server] * share * (ENTRY_COST + FORWARD_COST)
    return work


def imbalance(work: Iterable[float]) -> float:
    """Returns the ratio of the highest work to the mean."""
    values = list(work)
    return max(values) / statistics.fmean(values)


def imbalance_floor(model: LoadModel) -> float:
    """Returns the lowest imbalance of any placement with even arrival.

    As a server has one owner, it is above 1 if the busiest server alone loads its owner more than
    the mean.
    """
    total, highest = sum(model.load.values()), max(model.load.values())
    count = len(model.instances)
    entry, local = total / count * (ENTRY_COST + FORWARD_COST), FORWARD_COST * (1 - 2 / count)
    mean = total * (ENTRY_COST + OWNER_COST + 2 * FORWARD_COST * (1 - 1 / count)) / count
    return max(1.0, (entry + highest * (OWNER_COST + local)) / mean)


def forwarded_share(model: LoadModel, placement: Placement) -> float:
    """Returns the share of statements that arrive at another instance than the owner."""
    total = sum(model.load.values())
    local = sum(model.load[s] * model.arrival_share(s, owner) for s, owner in placement.items())
    return 1 - local / total


@dataclass
class Tally:
    """Results of one or several runs; merged ones leave the first quarter of the epochs out.

    Attributes:
        runs: Number of runs.
        imbalances: Ratio of the highest work to the mean, by epoch.
        floors: Lowest possible imbalance, by epoch.
        shares: Share of forwarded statements, by epoch.
        moves: Changes of ownership by cause; all epochs count.
        disagreeing: Share of owners on which the observers disagree, by epoch; all epochs count.
    """

    runs: int = 1
    imbalances: list[float] = field(default_factory=list)
    floors: list[float] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)
    moves: Counter[str] = field(default_factory=Counter)
    disagreeing: list[float] = field(default_factory=list)

    def report(self) -> dict[str, object]:
        """Returns the means, and the ownership moves per hour by cause."""
        hours = HOURS * self.runs
        return {
            "work_max_over_mean": round(statistics.fmean(self.imbalances), 3),
            "floor_of_max_over_mean": round(statistics.fmean(self.floors), 3),
            "forwarded_share": round(statistics.fmean(self.shares), 4),
            "moves_per_hour": {key: round(n / hours, 2) for key, n in sorted(self.moves.items())},
            "disagreeing_share": round(statistics.fmean(self.disagreeing or [0.0]), 5),
            "epochs_with_disagreement": sum(share > 0 for share in self.disagreeing),
        }


def disagreement_share(views: list[Placement]) -> float:
    """Returns the share of owners, over all observers, that differ from the most frequent one."""
    differing = 0
    for server in views[0]:
        owners = Counter(view[server] for view in views)
        differing += len(views) - owners.most_common(1)[0][1]
    return differing / (len(views) * len(views[0]))


def events(model: LoadModel, source: random.Random) -> Iterator[tuple[int, str]]:
    """Yields each epoch with the cause of a change at its start, or `none`."""
    rate = model.deployment.replaced_per_hour / EPOCHS_PER_HOUR
    due = 0.0
    for epoch in range(HOURS * EPOCHS_PER_HOUR):
        cause = "none"
        if epoch == CHANGE_EPOCH:
            model.change_pattern()
            cause = "load_pattern"
        due += rate
        if due >= 1 and epoch != CHANGE_EPOCH:
            due -= 1
            model.replace_instance()
            cause = "replacement"
        yield epoch, cause


def run(
    deployment: Deployment,
    *,
    learned: bool,
    keep_alive_callers: bool,
    preference: float,
    late_share: float,
    first_step: float,
    seed: int,
) -> Tally:
    """Simulates one placement for `HOURS` hours.

    Args:
        deployment: Size and load of the deployment.
        learned: Whether weights are learned; otherwise plain rendezvous hashing is used.
        keep_alive_callers: Whether callers keep connections to a few instances.
        preference: Preference for instances at which statements for a server arrive.
        late_share: Share of observations that arrive late.
        first_step: Size of the first gradient step.
        seed: Seed of the random numbers.
    """
    source = random.Random(seed * 7 + 1)
    model = LoadModel(deployment, keep_alive_callers, random.Random(seed))
    learners = [Learner(preference, first_step) for _ in range(OBSERVERS)] if learned else []
    last: dict[str, float] = {}
    allowed = candidates(model)
    before: Placement = {}
    tally = Tally()
    for _, cause in events(model, source):
        if cause == "replacement":
            allowed = candidates(model)
        views = [place(model, learner, allowed) for learner in learners or [None]]
        placement = views[0]
        if learned:
            tally.disagreeing.append(disagreement_share(views))
        for server in before:
            if placement[server] != before[server]:
                tally.moves[cause] += 1
        before = placement
        tally.imbalances.append(imbalance(work_of(model, model.load, placement).values()))
        tally.floors.append(imbalance_floor(model))
        tally.shares.append(forwarded_share(model, placement))
        observed = work_of(model, model.observe(), placement)
        for learner in learners:
            # The previous observation replaces one that arrives late.
            seen = {
                name: last.get(name, amount) if source.random() < late_share else amount
                for name, amount in observed.items()
            }
            learner.step(seen)
        last = observed
    return tally


def merge_figures(tallies: list[Tally]) -> dict[str, object]:
    """Returns the results over several seeds."""
    total = Tally(runs=len(tallies))
    for tally in tallies:
        quarter = len(tally.imbalances) // 4
        total.imbalances += tally.imbalances[quarter:]
        total.floors += tally.floors[quarter:]
        total.shares += tally.shares[quarter:]
        total.disagreeing += tally.disagreeing
        for key, count in tally.moves.items():
            total.moves[key] += count
    return total.report()


@click.command()
@click.option("--seeds", default=2, help="Runs with different seeds.")
@click.option("--first-step", default=0.1, help="Size of the first gradient step.")
def main(seeds: int, first_step: float) -> None:
    """Print the results of every deployment and placement as JSON."""
    results = []
    for deployment in DEPLOYMENTS:
        for keep_alive_callers in (False, True):
            variants = [("rendezvous", False, 0.0, 0.0), ("learned", True, 0.0, 0.01)]
            if keep_alive_callers:
                variants.append(("learned-forwarding", True, LOCAL_PREFERENCE, 0.01))
            else:
                variants.append(("learned", True, 0.0, 0.0))
            for name, learned, preference, late_share in variants:
                tallies = [
                    run(
                        deployment,
                        learned=learned,
                        keep_alive_callers=keep_alive_callers,
                        preference=preference,
                        late_share=late_share,
                        first_step=first_step,
                        seed=seed,
                    )
                    for seed in range(1, seeds + 1)
                ]
                results.append(
                    {
                        "deployment": deployment.name,
                        "arrival": "kept-connections" if keep_alive_callers else "even",
                        "placement": name,
                        "late_observations": late_share,
                        **merge_figures(tallies),
                    }
                )
    click.echo(
        json.dumps(
            {"seeds": seeds, "first_step": first_step, "hours": HOURS, "results": results}, indent=1
        )
    )


if __name__ == "__main__":
    main()
