"""Settings of a gateway process, independent of the file's format."""

from __future__ import annotations

from dataclasses import dataclass

from wigeonpoint.process.policy import CallerLimits, peer_connections_for_machine

DEFAULT_REMOTE_READ_COST_S = 0.002


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """How strictly the quotas of customers hold, over all instances.

    Attributes:
        window_s: Seconds of the sliding window in which operations are counted.
        overrun: Share of the allowed operations by which a window may exceed them.
        slack: Operations by which a window may exceed them besides.
    """

    window_s: float = 5.0
    overrun: float = 0.1
    slack: float = 0.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a gateway process.

    Attributes:
        instance_id: Unique name of the instance.
        data_centre: Its data centre.
        caller_address: `host:port` on which callers connect.
        readiness_address: `host:port` for the balancer's readiness probes.
        peer_address: `host:port` on which other instances connect.
        seeds: Addresses of some instances to contact while the store does not answer.
        store_address: `host:port` of the platform's store.
        promotion_address: `host:port` of the platform's promotion service, None if it has none.
        grace_s: Seconds from SIGTERM until the process is killed.
        leaving_s: Seconds for which a leaving member goes on serving.
        configuration_s: Seconds within which a change of the configuration must be active.
        revocation_s: Seconds within which a revoked key must be refused.
        revocation_fails_closed: Whether callers with keys are refused while this instance cannot
            tell whether their keys have been revoked.
        quota: How strictly the quotas of customers hold.
        memory_bytes: Memory that the process may use, None if it is not limited.
        max_descriptors: File descriptors that the process may open, None if that is not known.
        remote_read_cost_s: Cost of the traffic of a read in another data centre, in seconds of a
            caller's time: a read leaves only if it is answered sooner by more than this.
        callers: What callers may use of the process.
        peer_connections: Connections that other instances may open to this one.
    """

    instance_id: str
    data_centre: str
    caller_address: str
    readiness_address: str
    peer_address: str
    seeds: tuple[str, ...]
    store_address: str
    promotion_address: str | None
    grace_s: float
    leaving_s: float
    configuration_s: float
    revocation_s: float = 5.0
    revocation_fails_closed: bool = False
    quota: QuotaSettings = QuotaSettings()
    memory_bytes: int | None = None
    max_descriptors: int | None = None
    remote_read_cost_s: float = DEFAULT_REMOTE_READ_COST_S
    peer_connections: int = peer_connections_for_machine(None)
    callers: CallerLimits = CallerLimits.for_machine(None, None)
