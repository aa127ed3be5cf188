"""Cold servers, which take only a small rate of requests.

A server that gets more than that crashes, and it serves all instances. So a
server that may have restarted is taken for cold until shown otherwise.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from logging import getLogger
from math import ceil

from azurewick.entry.backends import Backend
from azurewick.entry.cold_budget import Allowance
from azurewick.entry.cold_budget import ColdShares
from azurewick.entry.cold_budget import ColdTolerance
from azurewick.entry.cold_budget import SendWindow
from azurewick.entry.cold_evidence import ColdReason
from azurewick.entry.cold_evidence import INITIAL_SLOT_SHARE
from azurewick.entry.cold_evidence import ServerEvidence
from azurewick.entry.cold_reports import MAX_CLAIMS
from azurewick.entry.cold_reports import RestartClaim
from azurewick.entry.models import BackendEntry
from azurewick.entry.models import Service
from azurewick.entry.peers import PeerView

_LOGGER = getLogger(__name__)

# Instances that report a new run: the others read it in the store as well,
# and only those that don't reach the store need to be told.
START_REPORTERS = 4
# An instance that hears less than this share of its peers isn't told of
# restarts. Many such instances together could exceed the limit, so that they
# take a server for cold unless it has kept answering.
ISOLATED_HEARD_SHARE = 0.25
# Fleets up to this multiple of a cold server's rate stay within the limit
# without that.
ISOLATED_FLEET_FACTOR = 2.0
# Shortest time between two reports out of turn.
MIN_ANNOUNCE_INTERVAL_S = 0.1
STAGE_PLACEMENT = "placement"
STAGE_SEND = "send"


class ColdServers:
    """Servers that are taken for cold, and what may be sent to them.

    The callbacks in on_news are called when this instance notices that a
    server may have restarted and hasn't heard of it. withheld counts the
    requests that a budget has held back.
    """

    def __init__(
        self,
        shares: ColdShares,
        *,
        tolerance: ColdTolerance,
        peers: PeerView,
        find_service: Callable[[str], Service | None],
    ) -> None:
        self.shares = shares
        self.tolerance = tolerance
        self.on_news: list[Callable[[], None]] = []
        self.withheld: Counter[str] = Counter()
        self._find_service = find_service
        self._peers = peers
        self._sends: dict[str, SendWindow] = {}
        self._servers: dict[str, ServerEvidence] = {}
        # Servers that are taken for cold, with the reason that was logged.
        self._cold: dict[str, ColdReason] = {}
        self._has_list = False
        # Whether a server is of a service whose servers may be cold.
        self._has_limits = False
        self._is_isolated = False
        self._announced_s = float("-inf")

    @property
    def count(self) -> int:
        """Return the number of servers that are taken for cold."""
        return len(self._cold)

    def update_servers(
        self, entries: Iterable[BackendEntry], now_s: float
    ) -> None:
        """Take over the current list of the servers.

        In the first list, only what the entries say counts; a run that comes
        later has started lately, or wasn't reachable for some time.
        """
        before = self._servers
        self._servers = {}
        for entry in entries:
            known = before.get(entry.name)
            if known is not None and (
                known.entry.run_name == entry.run_name
                and known.entry.address == entry.address
            ):
                known.record_entry(entry, now_s)
                self._servers[entry.name] = known
                continue
            # A run under the same name is the same server to its machine.
            sends = self._sends.setdefault(entry.name, SendWindow())
            server = ServerEvidence(entry=entry, sends=sends)
            if entry.cold_left_s > 0:
                server.cold_until_s = now_s + entry.cold_left_s
            if self._has_list:
                server.presume(now_s, ColdReason.NEW_RUN)
            self._servers[entry.name] = server
        self._sends = {
            name: sends
            for name, sends in self._sends.items()
            if name in self._servers or sends.is_recent(now_s)
        }
        self._has_list = True
        self._has_limits = any(
            self._rate(server.entry) for server in self._servers.values()
        )
        for name in self._cold.keys() - self._servers.keys():
            del self._cold[name]
        for server in self._servers.values():
            self._refresh_server(server, now_s)

    def refresh(self, registered_s: float | None, now_s: float) -> None:
        """Take over the live instances; find servers that have warmed up.

        registered_s is the time at which the list of the instances first had
        this one, None until then.
        """
        peers = self._peers
        self.shares.set_members(
            peers.members, registered_s, peers.has_left, now_s
        )
        is_isolated = self._has_limits and (
            peers.heard_share(now_s) < ISOLATED_HEARD_SHARE
        )
        if is_isolated != self._is_isolated:
            _LOGGER.info(
                "reports of %s instances arrive",
                "too few" if is_isolated else "enough",
                extra={"instances": peers.instance_count},
            )
        self._is_isolated = is_isolated
        for name in list(self._cold):
            self._refresh_server(self._servers[name], now_s)

    def record_failure(self, entry: BackendEntry, now_s: float) -> None:
        """Record that a connection was refused, or lost before an answer."""
        server = self._find(entry)
        if server is None or not self._rate(entry):
            return
        is_news = not server.is_lost
        server.record_failure(now_s)
        self._refresh_server(server, now_s)
        if is_news:
            self._announce(now_s)

    def record_success(
        self, entry: BackendEntry, sent_s: float, now_s: float
    ) -> None:
        """Record that a request that was sent at sent_s has an answer."""
        server = self._find(entry)
        if server is not None and server.record_success(sent_s, now_s):
            self._refresh_server(server, now_s)

    def end_evacuation(self, failure_domain: str, now_s: float) -> None:
        """Take a domain's servers for cold when its evacuation has ended."""
        for server in self._servers.values():
            if server.entry.failure_domain == failure_domain:
                server.presume(now_s, ColdReason.EVACUATION)
                self._refresh_server(server, now_s)

    def record_claims(
        self, claims: Sequence[RestartClaim], now_s: float
    ) -> None:
        """Take over what a peer has seen."""
        for claim in claims:
            name, _, started = claim.run.rpartition("/")
            server = self._servers.get(name)
            if server is None:
                continue
            if claim.run == server.entry.run_name:
                server.record_claim(claim, now_s)
            elif (
                started.isdecimal() and int(started) > server.entry.started_ms
            ):
                server.presume(
                    now_s
                    - (claim.started_age_s or claim.answered_age_s or 0.0),
                    ColdReason.PEER,
                )
            self._refresh_server(server, now_s)

    def claims(self, now_s: float) -> list[RestartClaim]:
        """Return what this instance has seen, for the reports.

        The latest losses come first: other instances can't know them.
        """
        servers = sorted(
            (self._servers[name] for name in self._cold),
            key=lambda server: server.own_failed_s,
            reverse=True,
        )
        found: list[RestartClaim] = []
        for server in servers:
            claim = server.build_claim(
                now_s, reports_start=self._reports_start(server)
            )
            if claim is not None:
                found.append(claim)
                if len(found) == MAX_CLAIMS:
                    break
        return found

    def is_limited(self, backend: Backend, now_s: float) -> bool:
        """Return whether the server gets this instance's share at the most."""
        return self._limited(backend.entry, now_s) is not None

    def usable_slots(
        self,
        backend: Backend,
        total: int,
        now_s: float,
        *,
        ignores_sent: bool = False,
    ) -> int:
        """Return how many of the total slots may be used, 0 for none."""
        server = self._limited(backend.entry, now_s)
        if server is None:
            return total
        allowance = self._allowance(server, now_s)
        left = allowance.count
        if not ignores_sent:
            left = server.sends.left(allowance, now_s) - backend.unsent
        if left < 1:
            self.withheld[STAGE_PLACEMENT] += not ignores_sent
            return 0
        return max(1, ceil(total * self._slot_share(server, now_s)))

    def is_last_resort(self, backend: Backend, now_s: float) -> bool:
        """Return whether any other server is to be chosen instead."""
        return not self.shares.is_settled(now_s) and self.is_limited(
            backend, now_s
        )

    def withheld_names(self, now_s: float) -> frozenset[str]:
        """Return the servers that may get no request of this instance now.

        The work grows with the number of cold servers, or that of all servers
        while this instance hears too few of its peers.
        """
        names = self._servers if self._is_isolated else self._cold
        if not self.shares.is_settled(now_s):
            return frozenset(
                name
                for name in names
                if self._limited(self._servers[name].entry, now_s) is not None
            )
        withheld = set()
        for name in names:
            server = self._limited(self._servers[name].entry, now_s)
            if server is not None and not server.sends.left(
                self._allowance(server, now_s), now_s
            ):
                withheld.add(name)
        return frozenset(withheld)

    def try_send(self, entry: BackendEntry, now_s: float) -> bool:
        """Count a request that is about to be sent, if it may be sent.

        Requests to servers that aren't cold are counted as well, since they
        may turn out to have restarted within the same second.
        """
        server = self._find(entry)
        if server is None:
            # The run isn't listed any more, so that nothing tells its state.
            return not self._rate(entry)
        if self._limited(entry, now_s) is not None and not server.sends.left(
            self._allowance(server, now_s), now_s
        ):
            self.withheld[STAGE_SEND] += 1
            return False
        if self._rate(entry):
            server.sends.add(now_s)
        return True

    def retry_after_s(self, entry: BackendEntry, now_s: float) -> float | None:
        """Return after which time a sent request no longer counts.

        Returns None for a server without a limit.
        """
        server = self._limited(entry, now_s)
        if server is None:
            return None
        return self._allowance(server, now_s).window_s

    def _reports_start(self, server: ServerEvidence) -> bool:
        return (
            server.presumed_reason is ColdReason.NEW_RUN
            and self.shares.rank(server.entry.run_name) < START_REPORTERS
        )

    def _find(self, entry: BackendEntry) -> ServerEvidence | None:
        """Return the evidence on the run that an entry describes."""
        server = self._servers.get(entry.name)
        if server is None or server.entry.run_name != entry.run_name:
            return None
        return server

    def _limited(
        self, entry: BackendEntry, now_s: float
    ) -> ServerEvidence | None:
        """Return the evidence on a server that is taken for cold."""
        if entry.name in self._cold:
            return self._servers[entry.name]
        if not self._is_isolated:
            return None
        server = self._find(entry)
        service = self._find_service(entry.service)
        if server is None or service is None or service.cold_per_s <= 0:
            return None
        fleet_limit = ISOLATED_FLEET_FACTOR * service.cold_per_s
        if self._peers.instance_count <= fleet_limit or server.is_proven_warm(
            service.cold_s, now_s
        ):
            return None
        return server

    def _rate(self, entry: BackendEntry) -> float:
        """Return the rate that the instances share, 0 without a limit."""
        service = self._find_service(entry.service)
        if service is None:
            return 0.0
        return self.tolerance.budget_per_s(service.cold_per_s)

    def _allowance(self, server: ServerEvidence, now_s: float) -> Allowance:
        return self.shares.allowance(
            server.entry.run_name, self._rate(server.entry), now_s
        )

    def _slot_share(self, server: ServerEvidence, now_s: float) -> float:
        """Return the usable share of the slots, which grows in time."""
        if server.entry.name not in self._cold:
            return 1.0
        service = self._find_service(server.entry.service)
        if service is None or service.cold_s <= 0:
            return 1.0
        until_s, _ = server.find_end(service.cold_s)
        left = min(1.0, max(0.0, until_s - now_s) / service.cold_s)
        return 1.0 - (1.0 - INITIAL_SLOT_SHARE) * left

    def _refresh_server(self, server: ServerEvidence, now_s: float) -> None:
        name = server.entry.name
        service = self._find_service(server.entry.service)
        known = self._cold.get(name)
        reason: ColdReason | None = None
        until_s = now_s
        if service is not None and self._rate(server.entry) > 0:
            until_s, reason = server.find_end(service.cold_s)
            if now_s >= until_s:
                reason = None
        if reason is known:
            return
        if reason is None:
            del self._cold[name]
            _LOGGER.info(
                "backend server is no longer cold",
                extra={
                    "backend_server": name,
                    "server_run": server.entry.run_name,
                },
            )
            return
        self._cold[name] = reason
        _LOGGER.info(
            "backend server taken for cold",
            extra={
                "backend_server": name,
                "server_run": server.entry.run_name,
                "reason": reason.value,
                "cold_for_s": round(until_s - now_s, 3),
                "learned_from": (
                    "peer"
                    if reason is ColdReason.PEER or server.learned_from_peer
                    else "self"
                ),
            },
        )

    def _announce(self, now_s: float) -> None:
        """Tell the peers at once, but not in quick succession."""
        if now_s - self._announced_s < MIN_ANNOUNCE_INTERVAL_S:
            return
        self._announced_s = now_s
        for callback in self.on_news:
            callback()
