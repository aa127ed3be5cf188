"""Live backend servers and gateways: the lagging list and the traffic."""

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

# A server that failed returns at the earliest after this time. The time
# doubles with each further loss, so that a server which works now and then
# doesn't come and go with each probe.
MINIMUM_ABSENCE_S = 1.0
MAXIMUM_ABSENCE_S = 15.0
# A gateway is only called for Sync. It returns soon, so that a change crosses
# the regions within seconds after a partition.
MAXIMUM_GATEWAY_ABSENCE_S = 2.0
# A returned server is on trial for this long: one failure takes it out.
TRIAL_S = 10.0
# A report may miss two publications on its way, and Sync takes its time.
SILENCE_PERIODS = 3
SILENCE_BASE_S = 5.0
# After this time without a failure the absence starts small again.
STABLE_S = 60.0
# What traffic showed is kept this long after the list dropped the instance,
# because the list may show it again while it still leaves.
RETENTION_S = 600.0

_STATES = {state.value: state for state in InstanceState}
_KINDS = {kind.value: kind for kind in PoolKind}


@dataclass(slots=True)
class _Health:
    """What traffic and notices have shown of one instance."""

    failures: int = 0
    suspected: bool = False
    absent_until_s: float = 0.0
    absence_s: float = MINIMUM_ABSENCE_S
    trial_until_s: float = 0.0
    last_failure_s: float = float("-inf")
    announced_leaving: bool = False
    incarnation: str = ""
    reported_s: float = float("-inf")
    touched_s: float = 0.0


@dataclass(slots=True)
class Instances:
    """Listed instances by name, with those that leave."""

    specs: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    servers: dict[str, BackendServer] = field(default_factory=dict)
    gateways: dict[str, GatewayInstance] = field(default_factory=dict)


class MembershipView:
    """Decides which instances get new work.

    An instance is left out when the list shows it as leaving or not at all,
    when it announced that it leaves, or when it failed three times in a row.
    """

    def __init__(self) -> None:
        self._instances = Instances()
        self._version = -1
        self._health: dict[str, _Health] = {}
        # The answers to the questions of each request, until a change.
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
        """Take a list; False when it is not newer."""
        if version <= self._version:
            return False
        self._version = version
        self._instances = instances
        self._forget(now_s)
        self._clear_answers()
        return True

    def record_failure(
        self, name: str, now_s: float, *, refused: bool = False
    ) -> None:
        """Count a failed offer or probe.

        refused says that the connection was refused, which is enough to
        take the instance out.
        """
        health = self._get_health(name, now_s)
        if now_s - health.last_failure_s > STABLE_S:
            health.absence_s = MINIMUM_ABSENCE_S
        health.last_failure_s = now_s
        health.failures += 1
        if health.suspected:
            is_lost = now_s >= health.absent_until_s
        else:
            is_lost = (
                refused
                or health.failures >= PROBE_FAILURES_UNTIL_LEAVING
                or now_s < health.trial_until_s
            )
        if is_lost:
            health.suspected = True
            self._clear_answers()
            health.absent_until_s = now_s + health.absence_s
            maximum_s = (
                MAXIMUM_GATEWAY_ABSENCE_S
                if name in self._instances.gateways
                else MAXIMUM_ABSENCE_S
            )
            health.absence_s = min(maximum_s, health.absence_s * 2)

    def record_success(self, name: str, now_s: float) -> None:
        """Count an answered offer or probe."""
        health = self._health.get(name)
        if health is None:
            return
        health.touched_s = now_s
        if health.suspected and now_s < health.absent_until_s:
            return
        health.failures = 0
        if health.suspected:
            health.suspected = False
            health.trial_until_s = now_s + TRIAL_S
            self._clear_answers()

    def record_leaving(
        self, name: str, now_s: float, incarnation: str = ""
    ) -> None:
        """Take the notice of an instance that it leaves."""
        health = self._get_health(name, now_s)
        health.announced_leaving = True
        self._clear_answers()
        health.reported_s = max(health.reported_s, now_s)
        if incarnation:
            health.incarnation = incarnation

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Take what a load report says of leaving and of restarts.

        Only a report that was read later than the last one counts, so that
        one from a slow relay doesn't undo a notice.
        """
        health = self._get_health(report.backend_server, now_s)
        read_s = now_s - report.age_s
        if read_s <= health.reported_s:
            return
        health.reported_s = read_s
        restarted = health.incarnation not in ("", report.incarnation)
        health.incarnation = report.incarnation
        if restarted or health.announced_leaving != report.draining:
            self._clear_answers()
        health.announced_leaving = report.draining
        if restarted:
            health.failures = 0
            health.suspected = False
            health.trial_until_s = now_s + TRIAL_S

    def record_silence(self, period_s: float, now_s: float) -> None:
        """Count a failure of each server whose last report is too old.

        period_s is the time between two reports of one server in the digest.
        One failure takes no server out; it makes the prober ask it. Without
        it a gateway that sends a dead server no request keeps it for ever.
        """
        limit_s = SILENCE_BASE_S + SILENCE_PERIODS * period_s
        for name in self._instances.servers:
            health = self._health.get(name)
            if health is None or health.failures or not health.incarnation:
                continue
            is_silent = now_s - health.reported_s > limit_s
            if is_silent and now_s >= health.trial_until_s:
                self.record_failure(name, now_s)

    def is_available(self, name: str) -> bool:
        """Return whether nothing but the list speaks against new work."""
        health = self._health.get(name)
        return health is None or not (
            health.announced_leaving or health.suspected
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
        """Return the live gateways."""
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
        """Return listed servers with a recent failure.

        Lost ones are included when their absence is over. The servers that
        waited longest for news come first.
        """
        names = self._names_to_retry(self._instances.servers, now_s)
        return tuple(self._instances.servers[name] for name in names[:limit])

    def gateways_to_retry(self, now_s: float) -> tuple[GatewayInstance, ...]:
        """Return live listed gateways that were lost and may be back."""
        names = self._names_to_retry(self._instances.gateways, now_s)
        found = (self._instances.gateways[name] for name in names)
        return tuple(one for one in found if one.state is InstanceState.LIVE)

    def find_gateway(self, name: str) -> GatewayInstance | None:
        """Return a listed gateway."""
        return self._instances.gateways.get(name)

    def _names_to_retry(
        self, listed: Collection[str], now_s: float
    ) -> list[str]:
        waiting = [
            (health.touched_s, name)
            for name, health in self._health.items()
            if health.failures
            and not (health.suspected and now_s < health.absent_until_s)
            and name in listed
        ]
        return [name for _, name in sorted(waiting)]

    def _clear_answers(self) -> None:
        self._live_servers.clear()
        self._live_gateways = None

    def _get_health(self, name: str, now_s: float) -> _Health:
        health = self._health.setdefault(name, _Health())
        health.touched_s = now_s
        return health

    def _forget(self, now_s: float) -> None:
        listed = self._instances.servers.keys() | self._instances.gateways
        for name, health in list(self._health.items()):
            if name not in listed and now_s - health.touched_s > RETENTION_S:
                del self._health[name]


def parse_instances(
    specs: Mapping[str, Mapping[str, Any]],
    previous: Instances | None = None,
) -> Instances:
    """Return the instances of specs by name, without invalid ones.

    Instances whose spec is the same object as before are taken over.
    """
    instances = Instances(specs=specs)
    known: Mapping[str, Mapping[str, Any]] = {}
    if previous is not None:
        known = previous.specs
    for name, spec in specs.items():
        if previous is not None and known.get(name) is spec:
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
