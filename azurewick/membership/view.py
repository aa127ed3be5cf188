"""Live backend servers and gateways, from the instance list and traffic.

The list in the store lags behind. Failures, notices and load reports show
earlier that an instance is unavailable.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from azurewick.const import PROBE_FAILURES_UNTIL_LEAVING
from azurewick.models import BackendServer
from azurewick.models import GatewayInstance
from azurewick.models import InstanceState
from azurewick.models import LoadReport
from azurewick.models import PoolKind

# An ejected server gets no new work for at least the minimum. The time doubles
# with each further ejection, up to the maximum, so that a server which fails
# now and then isn't added and removed with each probe.
MINIMUM_EJECTION_S = 1.0
MAXIMUM_EJECTION_S = 15.0
# Gateways are only called for Sync. A short ejection lets a change reach the
# other regions within seconds after a network partition.
MAXIMUM_GATEWAY_EJECTION_S = 2.0
# For this long after its return or restart, one failure ejects a server.
PROBATION_S = 10.0
# A load report is overdue after three publication periods, because two of its
# publications may get lost, plus a base time for the delay of Sync.
OVERDUE_REPORT_PERIODS = 3
OVERDUE_REPORT_BASE_S = 5.0
# After this time without a failure, ejections start at the minimum again.
EJECTION_RESET_S = 60.0
# The health of an instance that left the list is kept for this long after its
# last update, because the list may show it again while it still shuts down.
HEALTH_RETENTION_S = 600.0

_STATES = {state.value: state for state in InstanceState}
_KINDS = {kind.value: kind for kind in PoolKind}


@dataclass(slots=True)
class _Health:
    """Health of one instance as shown by traffic, notices and reports.

    last_report_s is the time of its last load report or leaving notice, and
    last_update_s that of the last event of any kind.
    """

    failures: int = 0
    is_ejected: bool = False
    ejected_until_s: float = 0.0
    next_ejection_s: float = MINIMUM_EJECTION_S
    probation_until_s: float = 0.0
    last_failure_s: float = float("-inf")
    announced_leaving: bool = False
    incarnation: str = ""
    last_report_s: float = float("-inf")
    last_update_s: float = 0.0


@dataclass(slots=True)
class Instances:
    """Listed instances by name, including those that are leaving."""

    specs: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    servers: dict[str, BackendServer] = field(default_factory=dict)
    gateways: dict[str, GatewayInstance] = field(default_factory=dict)


class MembershipView:
    """Decides which instances get new work.

    An instance gets none when the list shows it as leaving or not at all,
    when it announced that it is leaving, or while it is ejected. It is
    ejected after three failures in a row, a refused connection, or a single
    failure soon after its return or restart.
    """

    def __init__(self) -> None:
        self._instances = Instances()
        self._version = -1
        self._health: dict[str, _Health] = {}
        # Results of backend_servers() and gateways(), which each request
        # calls, cached until a change.
        self._live_servers: dict[str, tuple[BackendServer, ...]] = {}
        self._live_gateways: tuple[GatewayInstance, ...] | None = None

    @property
    def instances(self) -> Instances:
        """Return the list in use."""
        return self._instances

    @property
    def version(self) -> int:
        """Return the version of the list in use, -1 before the first."""
        return self._version

    def update_list(
        self, instances: Instances, version: int, now_s: float
    ) -> bool:
        """Replace the list; return False when it is not newer."""
        if version <= self._version:
            return False
        self._version = version
        self._instances = instances
        self._drop_expired_health(now_s)
        self._clear_cache()
        return True

    def record_failure(
        self, name: str, now_s: float, *, refused: bool = False
    ) -> None:
        """Count a failed offer or probe.

        refused says that the connection was refused, which ejects the
        instance at once.
        """
        health = self._get_health(name, now_s)
        if now_s - health.last_failure_s > EJECTION_RESET_S:
            health.next_ejection_s = MINIMUM_EJECTION_S
        health.last_failure_s = now_s
        health.failures += 1
        if health.is_ejected:
            must_eject = now_s >= health.ejected_until_s
        else:
            must_eject = (
                refused
                or health.failures >= PROBE_FAILURES_UNTIL_LEAVING
                or now_s < health.probation_until_s
            )
        if must_eject:
            health.is_ejected = True
            self._clear_cache()
            health.ejected_until_s = now_s + health.next_ejection_s
            max_ejection_s = (
                MAXIMUM_GATEWAY_EJECTION_S
                if name in self._instances.gateways
                else MAXIMUM_EJECTION_S
            )
            health.next_ejection_s = min(
                max_ejection_s, health.next_ejection_s * 2
            )

    def record_success(self, name: str, now_s: float) -> None:
        """Count an answered offer or probe."""
        health = self._health.get(name)
        if health is None:
            return
        health.last_update_s = now_s
        if health.is_ejected and now_s < health.ejected_until_s:
            return
        health.failures = 0
        if health.is_ejected:
            health.is_ejected = False
            health.probation_until_s = now_s + PROBATION_S
            self._clear_cache()

    def record_leaving(
        self, name: str, now_s: float, incarnation: str = ""
    ) -> None:
        """Record that an instance has announced that it is leaving."""
        health = self._get_health(name, now_s)
        health.announced_leaving = True
        self._clear_cache()
        health.last_report_s = max(health.last_report_s, now_s)
        if incarnation:
            health.incarnation = incarnation

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Record from a load report whether a server is leaving or restarted.

        A report older than the last report or notice is ignored, so that one
        that a relay delayed doesn't undo a notice.
        """
        health = self._get_health(report.backend_server, now_s)
        measured_s = now_s - report.age_s
        if measured_s <= health.last_report_s:
            return
        health.last_report_s = measured_s
        restarted = health.incarnation not in ("", report.incarnation)
        health.incarnation = report.incarnation
        if restarted or health.announced_leaving != report.draining:
            self._clear_cache()
        health.announced_leaving = report.draining
        if restarted:
            health.failures = 0
            health.is_ejected = False
            health.probation_until_s = now_s + PROBATION_S

    def record_overdue_reports(self, period_s: float, now_s: float) -> None:
        """Count a failure of each server whose last report is too old.

        period_s is the time between two publications of a server's report.
        One failure doesn't eject a server, but makes the prober check it.
        Otherwise a gateway that sends a dead server no requests would never
        find out.
        """
        max_age_s = OVERDUE_REPORT_BASE_S + OVERDUE_REPORT_PERIODS * period_s
        for name in self._instances.servers:
            health = self._health.get(name)
            if health is None or health.failures or not health.incarnation:
                continue
            is_overdue = now_s - health.last_report_s > max_age_s
            if is_overdue and now_s >= health.probation_until_s:
                self.record_failure(name, now_s)

    def is_available(self, name: str) -> bool:
        """Return whether an instance may get new work, apart from the list.

        It may not after announcing that it is leaving, or while ejected.
        """
        health = self._health.get(name)
        return health is None or not (
            health.announced_leaving or health.is_ejected
        )

    def backend_servers(self, pool: str) -> tuple[BackendServer, ...]:
        """Return the servers of a pool that may get new work."""
        servers = self._live_servers.get(pool)
        if servers is None:
            servers = tuple(
                server
                for server in self._instances.servers.values()
                if server.pool == pool
                and server.state is InstanceState.LIVE
                and self.is_available(server.name)
            )
            self._live_servers[pool] = servers
        return servers

    def gateways(self) -> tuple[GatewayInstance, ...]:
        """Return the live gateways that are available."""
        if self._live_gateways is None:
            self._live_gateways = tuple(
                gateway
                for gateway in self._instances.gateways.values()
                if gateway.state is InstanceState.LIVE
                and self.is_available(gateway.name)
            )
        return self._live_gateways

    def servers_to_probe(
        self, limit: int, now_s: float
    ) -> tuple[BackendServer, ...]:
        """Return listed servers that failed since their last success.

        Ejected ones are included once their ejection time is over. Servers
        come in the order of their last update, the oldest first.
        """
        names = self._names_to_retry(self._instances.servers, now_s)
        return tuple(self._instances.servers[name] for name in names[:limit])

    def gateways_to_retry(self, now_s: float) -> tuple[GatewayInstance, ...]:
        """Return live listed gateways that failed and may be back."""
        names = self._names_to_retry(self._instances.gateways, now_s)
        found = (self._instances.gateways[name] for name in names)
        return tuple(
            gateway for gateway in found if gateway.state is InstanceState.LIVE
        )

    def find_gateway(self, name: str) -> GatewayInstance | None:
        """Return a listed gateway, None when it is not in the list."""
        return self._instances.gateways.get(name)

    def _names_to_retry(
        self, listed: Collection[str], now_s: float
    ) -> list[str]:
        candidates = [
            (health.last_update_s, name)
            for name, health in self._health.items()
            if health.failures
            and not (health.is_ejected and now_s < health.ejected_until_s)
            and name in listed
        ]
        return [name for _, name in sorted(candidates)]

    def _clear_cache(self) -> None:
        self._live_servers.clear()
        self._live_gateways = None

    def _get_health(self, name: str, now_s: float) -> _Health:
        health = self._health.setdefault(name, _Health())
        health.last_update_s = now_s
        return health

    def _drop_expired_health(self, now_s: float) -> None:
        listed = self._instances.servers.keys() | self._instances.gateways
        for name, health in list(self._health.items()):
            if (
                name not in listed
                and now_s - health.last_update_s > HEALTH_RETENTION_S
            ):
                del self._health[name]


def parse_instances(
    specs: Mapping[str, Mapping[str, Any]],
    previous: Instances | None = None,
) -> Instances:
    """Return the instances of specs by name, without invalid ones.

    An instance of previous whose spec is still the same object is reused.
    """
    instances = Instances(specs=specs)
    previous_specs: Mapping[str, Mapping[str, Any]] = {}
    if previous is not None:
        previous_specs = previous.specs
    for name, spec in specs.items():
        if previous is not None and previous_specs.get(name) is spec:
            if name in previous.gateways:
                instances.gateways[name] = previous.gateways[name]
            elif name in previous.servers:
                instances.servers[name] = previous.servers[name]
            continue
        try:
            _parse_instance(instances, name, spec)
        except (KeyError, ValueError, TypeError):
            continue
    return instances


def _parse_instance(
    instances: Instances, name: str, spec: Mapping[str, Any]
) -> None:
    if spec["role"] == "gateway":
        instances.gateways[name] = GatewayInstance(
            name=name,
            region=spec["region"],
            failure_domain=spec["failure_domain"],
            control_address=spec["control_address"],
            state=_STATES[spec["state"]],
        )
        return
    instances.servers[name] = BackendServer(
        name=name,
        region=spec["region"],
        failure_domain=spec["failure_domain"],
        control_address=spec["control_address"],
        state=_STATES[spec["state"]],
        address=spec["address"],
        pool=spec["pool"],
        kind=_KINDS[spec["kind"]],
        version=spec["version"],
    )
