"""What instances and the allocator of quotas tell each other, and the durations they agree on."""

from __future__ import annotations

from dataclasses import dataclass, field

# Long enough for a data centre that is cut off for some seconds; what a lost instance held is free
# again only this long after its last request, and a window later.
ALLOWANCE_LEASE_S = 12.0
# For which an allocator goes on without a proof that no other one has replaced it. Outages of the
# store rarely last longer.
ALLOCATOR_RIGHT_S = 300.0
CLOCK_RATE_MARGIN = 0.01  # by which the clocks of two machines may run apart
# Of the overrun and the slack that a quota tolerates. The rest is for statements that reach members
# more often than they were counted.
TOLERANCE_SHARE = 0.5


def operations_per_window(
    operations_per_s: float, burst: float, *, window_s: float, overrun: float, slack: float
) -> int:
    """Operations that a customer may start within any window, over all instances.

    Args:
        operations_per_s: The customer's rate.
        burst: Operations beyond it.
        window_s: Length of the window in seconds.
        overrun: Share by which a window may exceed the limit.
        slack: Operations by which it may exceed it besides.
    """
    allowed = operations_per_s * window_s + burst
    return int(allowed * (1 + TOLERANCE_SHARE * overrun) + TOLERANCE_SHARE * slack)


def with_clock_margin(seconds: float) -> float:
    """Seconds by the own clock after which as many have passed by any other one."""
    return seconds * (1 + CLOCK_RATE_MARGIN)


@dataclass(frozen=True, slots=True)
class AllowanceRequest:
    """What an instance holds and wants of a customer's quota; in operations per window.

    Attributes:
        customer: Name of the customer.
        allowance: Operations that the instance may have started within a window.
        used: Operations that it has started within the last window; more than the allowance if
            that was reduced or its lease has ended.
        wanted: Allowance that it expects to need.
        total: Operations per window of all instances, as the instance knows the configuration.
        waiting: Operations that wait for a larger allowance.
    """

    customer: str
    allowance: int
    used: int
    wanted: int
    total: int
    waiting: int = 0

    @property
    def held(self) -> int:
        """What other instances must not use."""
        return max(self.allowance, self.used)


@dataclass(frozen=True, slots=True)
class RenewAllowances:
    """Asks the allocator to renew allowances of an instance.

    Attributes:
        instance: Name of the instance.
        process: Identifier of its process.
        running_s: Seconds since the process was started.
        era: Era of the store in which the allocator's term was claimed.
        term: The allocator's term.
        number: Number of the request, raised by each request of the process.
        requests: Allowances to renew; all that are held in the first request of a term.
    """

    instance: str
    process: str
    running_s: float
    era: int
    term: int
    number: int
    requests: list[AllowanceRequest] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Allowance:
    """A renewed allowance.

    Attributes:
        customer: Name of the customer.
        operations: Operations that the instance may have started within a window; while more are
            within the window already, it starts none.
        total: Operations per window of all instances that the allocator divides.
    """

    customer: str
    operations: int
    total: int


@dataclass(frozen=True, slots=True)
class AllowancesRenewed:
    """Answers `RenewAllowances`.

    Attributes:
        number: Number of the request; 0 if it was refused, as the receiver is not the allocator of
            the term or may no longer act as it.
        allowances: The renewed allowances.
    """

    number: int
    allowances: list[Allowance] = field(default_factory=list)
