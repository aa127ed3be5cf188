"""Selection of the version for a request, and withdrawal of bad versions."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import logging

from xxhash import xxh64_intdigest

from azurewick.models import Offer
from azurewick.rollout.assessment import MoveAssessor
from azurewick.rollout.assessment import Verdict
from azurewick.rollout.counts import EvidenceKey
from azurewick.rollout.counts import EvidenceRow
from azurewick.rollout.evidence import EvidenceCounter
from azurewick.rollout.models import MoveState
from azurewick.rollout.models import VersionMove
from azurewick.routing.models import OfferResult

_LOGGER = logging.getLogger(__name__)

# Matches no server, so that the request is refused: the only live version is
# one that must not get requests.
NO_VERSION = ""
# Path segments that make up the default route of a request.
ROUTE_SEGMENTS = 2
_HASH_RANGE = 2.0**64


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionCut:
    """Withdrawal of a version, which gets no further request of a class."""

    request_class: str
    version: str
    move_id: str
    reason: str


class VersionSelector:
    """Selects versions in one gateway by the shares of the moves.

    It counts the outcomes of the gateway's own requests and assesses a
    version from them and from the evidence of other gateways. A rejected
    version is cut (gets no further request) at once, without waiting for the
    controller. is_suspect takes a fingerprint and the time in seconds and
    returns whether another gateway saw a crash with that request.
    """

    def __init__(
        self,
        gateway: str = "",
        incarnation: str = "",
        *,
        is_suspect: Callable[[str, float], bool] = lambda _, __: False,
    ) -> None:
        self._counter = EvidenceCounter(gateway, incarnation, is_suspect)
        self._moves: dict[str, VersionMove] = {}
        self._assessors: dict[str, MoveAssessor] = {}
        self._cuts: dict[str, VersionCut] = {}

    def update_moves(self, moves: Sequence[VersionMove]) -> None:
        """Replace the moves and delete the cuts of moves that are gone."""
        self._moves = {move.request_class: move for move in moves}
        ids = {move.id for move in moves}
        progressing = [move for move in moves if move.is_progressing]
        self._counter.keep_classes(m.request_class for m in progressing)
        self._assessors = {
            move.id: self._assessors.get(move.id)
            or MoveAssessor(move.request_class, move.version)
            for move in progressing
        }
        self._cuts = {i: cut for i, cut in self._cuts.items() if i in ids}

    def choose(
        self, offer: Offer, versions: Collection[str], now_s: float
    ) -> str | None:
        """Return the version for an offer, from those with live servers.

        None allows any version, NO_VERSION allows none.
        """
        move = self._moves.get(offer.request_class)
        if move is None or move.version not in versions:
            return None
        if not move.previous_version and len(set(versions)) > 2:
            # The old version can't be told from a version under test for
            # another class, so allow any version (the configured version of
            # the class then decides) unless this move is stopped.
            return self._choose_untested(move, versions)
        old = self._old_version(move, versions)
        if self._effective_share(move) <= 0:
            return old if old is not None else NO_VERSION
        # The new version is the only live one and was not rejected, so it
        # serves more than its share.
        if old is None:
            return move.version
        position = _hash(f"{move.id}/{offer.request_id}") / _HASH_RANGE
        return move.version if position < self._effective_share(move) else old

    def choose_fallback(
        self, offer: Offer, refused: str, versions: Collection[str]
    ) -> str | None:
        """Return the version to retry with after one refused an offer.

        Only offers refused by the new version are retried, with the old one:
        otherwise an overload of the old servers would raise the share of the
        new version.
        """
        move = self._moves.get(offer.request_class)
        if move is None or refused != move.version:
            return None
        return self._old_version(move, versions)

    def choose_servers(
        self, request_class: str, version: str, names: Iterable[str]
    ) -> frozenset[str]:
        """Return the servers of a version that may get the class's requests.

        A version under test uses few servers, the same in each gateway, so
        that they carry as much load as the servers of the old version.
        """
        servers = frozenset(names)
        move = self._moves.get(request_class)
        if move is None or not move.is_progressing:
            return servers
        if version != move.version or not 0 < move.servers < len(servers):
            return servers
        ordered = sorted(servers, key=lambda name: _hash(f"{move.id}/{name}"))
        return frozenset(ordered[: move.servers])

    def record_result(
        self,
        offer: Offer,
        version: str,
        result: OfferResult,
        now_s: float,
        *,
        backend_server: str = "",
        route: str = "",
    ) -> None:
        """Record the result of a request that a server of version ran.

        route names the part of the class that is assessed separately, for
        example a model; the default is the method and the first path
        segments.
        """
        move = self._moves.get(offer.request_class)
        if move is None or not move.is_progressing:
            return
        key = EvidenceKey(
            offer.request_class,
            version,
            route or default_route(offer),
            backend_server,
        )
        rows = self._counter.record(
            offer, key, result, now_s, is_old_version=version != move.version
        )
        self._assess(move, rows, now_s)

    def evidence(self) -> tuple[EvidenceRow, ...]:
        """Return the gateway's own evidence for the other gateways."""
        return self._counter.rows()

    def update_evidence(
        self, rows: Collection[EvidenceRow], now_s: float
    ) -> None:
        """Add the evidence of other gateways."""
        for move in self._moves.values():
            if move.is_progressing:
                self._assess(move, rows, now_s)

    def cuts(self) -> tuple[VersionCut, ...]:
        """Return the known cuts for the other gateways."""
        return tuple(self._cuts.values())

    def record_cut(self, cut: VersionCut) -> None:
        """Record a cut, by this or another gateway, if the move is known."""
        move = self._moves.get(cut.request_class)
        if move is None or move.id != cut.move_id or cut.move_id in self._cuts:
            return
        self._cuts[cut.move_id] = cut
        _LOGGER.warning(
            "version %s rejected, it gets no further requests of class %s: %s",
            cut.version,
            cut.request_class,
            cut.reason,
        )

    def _assess(
        self, move: VersionMove, rows: Collection[EvidenceRow], now_s: float
    ) -> None:
        assessor = self._assessors[move.id]
        assessor.update(rows, now_s)
        if move.id in self._cuts or all(
            row.key.version != move.version for row in rows
        ):
            return
        assessment = assessor.assess(move.servers)
        if assessment.verdict is not Verdict.REJECTED:
            return
        self.record_cut(
            VersionCut(
                request_class=move.request_class,
                version=move.version,
                move_id=move.id,
                reason=assessment.reason,
            )
        )

    def _effective_share(self, move: VersionMove) -> float:
        if move.id in self._cuts:
            return 0.0
        if move.state is MoveState.DONE:
            return 1.0
        return move.share if move.is_progressing else 0.0

    def _choose_untested(
        self, move: VersionMove, versions: Collection[str]
    ) -> str | None:
        """Return a version that is not under test if the move was stopped.

        A completed move returns its own version. None allows any version and
        is returned while the move progresses.
        """
        if move.is_progressing and move.id not in self._cuts:
            return None
        if move.state is MoveState.DONE:
            return move.version
        tested = {m.version for m in self._moves.values() if m.is_progressing}
        others = set(versions) - tested - {move.version}
        return max(others, default=NO_VERSION)

    def _old_version(
        self, move: VersionMove, versions: Collection[str]
    ) -> str | None:
        if move.previous_version in versions:
            return move.previous_version
        others = [item for item in versions if item != move.version]
        return max(others, default=None)


def _hash(text: str) -> int:
    return int(xxh64_intdigest(text.encode()))


def default_route(offer: Offer) -> str:
    """Return the route of an offer: its method and first path segments."""
    path = offer.path.partition("?")[0]
    segments = path.split("/")[: ROUTE_SEGMENTS + 1]
    return f"{offer.method} {'/'.join(segments)}"
