"""State that an entry instance has read from the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from logging import getLogger
from typing import Protocol
from typing import TypeVar

from azurewick.entry.backends import Backend
from azurewick.entry.backends import BackendRegistry
from azurewick.entry.departures import Departure
from azurewick.entry.departures import Departures
from azurewick.entry.departures import DepartureSource
from azurewick.entry.evacuations import Evacuations
from azurewick.entry.models import BackendEntry
from azurewick.entry.models import FleetConfiguration
from azurewick.entry.models import Service
from azurewick.entry.models import VersionMove
from azurewick.entry.store_outage import StoreOutage
from azurewick.errors import AzurewickError
from azurewick.helpers.log_limit import LogLimit
from azurewick.store.protocols import StoredObject

_LOGGER = getLogger(__name__)

_Decoded = TypeVar("_Decoded")

MAX_REASON_CHARACTERS = 200
# How a change of a server was learned.
SOURCE_LIST = "list"
SOURCE_GRACE_END = "end of the grace time"
SOURCE_PEER = "peer"
SOURCE_SERVER = "server"


class DocumentDecoder(Protocol):
    """Decoder of stored objects.

    Each method raises AzurewickError with code invalid_configuration when
    the object is invalid.
    """

    def decode_configuration(self, item: StoredObject) -> FleetConfiguration:
        """Return the configuration that an object holds."""

    def decode_server(self, item: StoredObject) -> BackendEntry:
        """Return the backend server that an object describes."""

    def decode_move(self, item: StoredObject) -> VersionMove:
        """Return the version move that an object orders."""


class FleetState:
    """Configuration, backend servers, version moves and evacuations.

    The callbacks in on_change are called after each update. has_servers says
    that the servers have been listed, even if there are none. has_peer_copy
    is set while the configuration in force came from a peer.
    """

    def __init__(
        self,
        decoder: DocumentDecoder,
        clock: Callable[[], float],
        *,
        follows_evacuations: bool = False,
    ) -> None:
        self.configuration: FleetConfiguration | None = None
        self.registry = BackendRegistry()
        self.moves: dict[str, VersionMove] = {}
        self.has_servers = False
        self.has_peer_copy = False
        self.on_change: list[Callable[[], None]] = []
        self._decoder = decoder
        self._clock = clock
        self._log_limit = LogLimit()
        self._decoded_servers: dict[str, tuple[int, BackendEntry | None]] = {}
        self._servers_reachable: bool | None = None
        self.outage = StoreOutage()
        self.departures = Departures()
        self.evacuations = Evacuations(is_followed=follows_evacuations)
        self.evacuations.on_change.append(self._apply_evacuations)
        # Until when servers without an entry are kept, by run.
        self._kept_until_s: dict[str, float] = {}
        self._servers_version = 0
        self._servers_read_s: float | None = None

    @property
    def servers_age_s(self) -> float | None:
        """Return the time since the list of the servers was known current."""
        if self._servers_read_s is None:
            return None
        return self._clock() - self._servers_read_s

    def record_servers_read(self) -> None:
        """Record that the store has confirmed the list of the servers."""
        self._servers_read_s = self._clock()

    @property
    def is_ready(self) -> bool:
        """Return whether requests can be routed."""
        return (
            self.configuration is not None
            and self.has_servers
            and self.evacuations.is_settled(
                self._clock(), has_peer_copy=self.has_peer_copy
            )
        )

    def update_configuration(self, items: Mapping[str, StoredObject]) -> bool:
        """Apply the stored configuration if its version is newer.

        Returns whether all objects are valid.
        """
        are_valid = True
        for item in items.values():
            started_s = self._clock()
            configuration = self._decode(
                self._decoder.decode_configuration, item
            )
            if configuration is None:
                are_valid = False
                continue
            known = self.configuration
            if known is not None and configuration.version <= known.version:
                continue
            self.configuration = configuration
            _LOGGER.info(
                "configuration in force",
                extra={
                    "configuration_version": configuration.version,
                    "revision": item.version,
                    "decoding_took_s": round(self._clock() - started_s, 3),
                    "routes": len(configuration.routes),
                    "customers": len(configuration.customers),
                },
            )
        self._notify()
        return are_valid

    def update_servers(
        self, items: Mapping[str, StoredObject], version: int = 0
    ) -> None:
        """Replace the backend servers by the stored list of a version."""
        self._servers_version = version
        entries: list[BackendEntry] = []
        decoded: dict[str, tuple[int, BackendEntry | None]] = {}
        for name, item in items.items():
            known = self._decoded_servers.get(name)
            if known is None or known[0] != item.version:
                known = (
                    item.version,
                    self._decode(self._decoder.decode_server, item),
                )
            decoded[name] = known
            if known[1] is not None:
                entries.append(known[1])
        self._decoded_servers = decoded
        self.has_servers = True
        self._update_registry(entries, source=SOURCE_LIST)

    def set_servers_reachable(self, reachable: bool) -> None:
        """Log whether the list of the servers can be read from the store."""
        age_s = self.servers_age_s
        if reachable != self._servers_reachable:
            _LOGGER.info(
                "list of the backend servers can%s be read",
                "" if reachable else "'t",
                extra={
                    "list_version": self._servers_version,
                    "list_age_s": None if age_s is None else round(age_s, 3),
                },
            )
        self._servers_reachable = reachable

    def drop_expired_servers(self) -> None:
        """Drop servers whose grace time after an outage is over."""
        self._update_registry(self._listed_entries(), source=SOURCE_GRACE_END)

    def expiry_wait_s(self) -> float | None:
        """Return the time until drop_expired_servers has to be called."""
        if not self._kept_until_s:
            return None
        return max(0.0, min(self._kept_until_s.values()) - self._clock())

    def record_departure(self, departure: Departure, *, source: str) -> None:
        """Send nothing new to a server run that leaves or has left."""
        if not self.departures.record(departure, self._clock()):
            return
        _LOGGER.info(
            "backend server leaves",
            extra={
                "server_run": departure.run,
                "departure": departure.source.value,
                "revision": departure.revision,
                "learned_from": source,
            },
        )
        if any(
            backend.entry.run_name == departure.run
            for backend in self.registry
        ):
            self._update_registry(self._listed_entries(), source=source)

    def record_peer_departures(
        self, departures: Sequence[Departure], *, trusts_removals: bool
    ) -> None:
        """Add the departures that a peer knows.

        trusts_removals is unset when entries may be missing as most
        instances had lost the store.
        """
        for departure in departures:
            if departure.is_final or trusts_removals:
                self.record_departure(departure, source=SOURCE_PEER)

    def update_moves(self, items: Mapping[str, StoredObject]) -> None:
        """Replace the version moves by the stored ones."""
        moves: dict[str, VersionMove] = {}
        for item in items.values():
            move = self._decode(self._decoder.decode_move, item)
            if move is None:
                continue
            # Another object must not replace the order for this service.
            if move.service != item.name:
                self._log_invalid(item, f"it orders {move.service!r}")
                continue
            moves[move.service] = move
        if moves != self.moves:
            _LOGGER.info(
                "version moves changed",
                extra={
                    "moves": [
                        f"{move.service}={move.target_version}:{move.state}"
                        for move in moves.values()
                    ]
                },
            )
        self.moves = moves
        self._notify()

    def find_service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        configuration = self.configuration
        return (
            None if configuration is None else configuration.services.get(name)
        )

    def servers_of(self, service: str) -> list[Backend]:
        """Return the backend servers of a service."""
        return self.registry.of_service(service)

    def _update_registry(
        self, entries: list[BackendEntry], *, source: str
    ) -> None:
        before = {server.name: server.entry for server in self.registry}
        now_s = self._clock()
        for entry in entries:
            if entry.is_draining:
                self._record_own(entry, DepartureSource.DRAINING_ENTRY, now_s)
        self.registry.update(entries, kept=self._find_kept(entries, now_s))
        for backend in self.registry:
            backend.has_left = self.departures.find(backend.entry) is not None
        self.evacuations.mark(self.registry)
        after = {server.name: server.entry for server in self.registry}
        for name in before.keys() | after.keys():
            if before.get(name) != after.get(name):
                _log_server_change(
                    before.get(name),
                    after.get(name),
                    source=source,
                    list_version=self._servers_version,
                )
        self._notify()

    def _apply_evacuations(self) -> None:
        self.evacuations.mark(self.registry)
        self._notify()

    def _listed_entries(self) -> list[BackendEntry]:
        return [entry for _, entry in self._decoded_servers.values() if entry]

    def _record_own(
        self, entry: BackendEntry, source: DepartureSource, now_s: float
    ) -> None:
        revision = 0
        if source is DepartureSource.REMOVED_ENTRY:
            revision = max(entry.revision, self._servers_version)
        self.departures.record(
            Departure(run=entry.run_name, source=source, revision=revision),
            now_s,
        )

    def _find_kept(
        self, entries: list[BackendEntry], now_s: float
    ) -> set[str]:
        """Return the servers without an entry that may be live.

        Records the departure of the others.
        """
        listed = {entry.run_name for entry in entries}
        grace_until_s = self.outage.grace_until_s(now_s)
        kept: set[str] = set()
        kept_until_s: dict[str, float] = {}
        for backend in self.registry:
            run = backend.entry.run_name
            if run in listed or self.departures.find(backend.entry):
                continue
            until_s = self._kept_until_s.get(run, grace_until_s)
            if until_s is not None and now_s < until_s:
                kept.add(backend.name)
                kept_until_s[run] = until_s
            else:
                self._record_own(
                    backend.entry, DepartureSource.REMOVED_ENTRY, now_s
                )
        self._kept_until_s = kept_until_s
        return kept

    def _decode(
        self, decoder: Callable[[StoredObject], _Decoded], item: StoredObject
    ) -> _Decoded | None:
        """Return the decoded object, or None when it is invalid.

        Whatever a single object makes the decoder raise, the others count.
        """
        try:
            return decoder(item)
        except AzurewickError as err:
            self._log_invalid(item, str(err))
        except Exception as err:
            self._log_invalid(item, repr(err)[:MAX_REASON_CHARACTERS])
        return None

    def _log_invalid(self, item: StoredObject, reason: str) -> None:
        if self._log_limit.allows((item.plural, item.name), self._clock()):
            _LOGGER.warning(
                "stored object %s/%s is invalid: %s",
                item.plural,
                item.name,
                reason,
            )

    def _notify(self) -> None:
        for callback in self.on_change:
            try:
                callback()
            except Exception:
                # The other callbacks must not miss the change.
                if self._log_limit.allows(callback, self._clock()):
                    _LOGGER.exception("a change of the state isn't handled")


def _log_server_change(
    before: BackendEntry | None,
    after: BackendEntry | None,
    *,
    source: str,
    list_version: int,
) -> None:
    entry = after or before
    assert entry is not None
    _LOGGER.info(
        "backend server %s",
        "added" if before is None else "gone" if after is None else "changed",
        extra={
            "backend_server": entry.name,
            "service": entry.service,
            "address": entry.address,
            "version": entry.version,
            "is_draining": entry.is_draining,
            "started_ms": entry.started_ms,
            "revision": entry.revision,
            "list_version": list_version,
            "learned_from": source,
        },
    )
