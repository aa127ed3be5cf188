"""Choice of the version that a request gets, and the cut of bad ones."""

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

# Version of no server: the request is refused, as only a version that was
# cut is live.
NO_VERSION = ""
ROUTE_SEGMENTS = 2
_HASH_RANGE = 2.0**64


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionCut:
    """Version that gets no further request of a class."""

    request_class: str
    version: str
    move_id: str
    reason: str


class VersionSelector:
    """Selects versions by the shares of the moves, in one gateway.

    It counts the outcomes of the gateway's own requests and assesses a
    version from them and from the evidence of other gateways. A rejected
    version is cut at once, without the controller.
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
        """Replace the moves; cuts of moves that are gone are forgotten."""
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
        """Return the version for an offer out of those with live servers.

        None allows any version; NO_VERSION allows none.
        """
        move = self._moves.get(offer.request_class)
        if move is None or move.version not in versions:
            return None
        if not move.previous_version and len(set(versions)) > 2:
            # Another version may be under test for another class, so the
            # configured version of the class has to decide.
            return None
        old = self._old_version(move, versions)
        if self._share(move) <= 0:
            return old if old is not None else NO_VERSION
        # Without an old server the new version is the only one left. It has
        # not shown a fault, so it serves more than its share.
        if old is None:
            return move.version
        place = _hash(f"{move.id}/{offer.request_id}") / _HASH_RANGE
        return move.version if place < self._share(move) else old

    def choose_fallback(
        self, offer: Offer, refused: str, versions: Collection[str]
    ) -> str | None:
        """Return the version that may take what another one refused.

        Only the old version may, when the new one has refused: otherwise an
        overload of the old servers would raise the new one's share.
        """
        move = self._moves.get(offer.request_class)
        if move is None or refused != move.version:
            return None
        return self._old_version(move, versions)

    def choose_servers(
        self, request_class: str, version: str, names: Iterable[str]
    ) -> frozenset[str]:
        """Return the servers of a version that may get the class's requests.

        A version in test uses few servers, the same at each gateway, so that
        they carry as much load as the servers of the old version.
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
        """Record the end of a request that a version's server ran.

        route is what may fail alone, for example a model's name; without it
        the method and the first segments of the path are the route.
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
            offer, key, result, now_s, is_old=version != move.version
        )
        self._assess(move, rows, now_s)

    def evidence(self) -> tuple[EvidenceRow, ...]:
        """Return the gateway's own evidence, to be shared."""
        return self._counter.rows()

    def update_evidence(
        self, rows: Collection[EvidenceRow], now_s: float
    ) -> None:
        """Add the evidence of other gateways."""
        for move in self._moves.values():
            if move.is_progressing:
                self._assess(move, rows, now_s)

    def cuts(self) -> tuple[VersionCut, ...]:
        """Return the cuts, to be shared."""
        return tuple(self._cuts.values())

    def record_cut(self, cut: VersionCut) -> None:
        """Record a cut that another gateway made."""
        move = self._moves.get(cut.request_class)
        if move is None or move.id != cut.move_id or cut.move_id in self._cuts:
            return
        self._cuts[cut.move_id] = cut
        _LOGGER.warning(
            "version %s gets no further request of class %s: %s",
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

    def _share(self, move: VersionMove) -> float:
        if move.id in self._cuts:
            return 0.0
        if move.state is MoveState.DONE:
            return 1.0
        return move.share if move.is_progressing else 0.0

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
    """Return the method and the first segments of the path."""
    path = offer.path.partition("?")[0]
    segments = path.split("/")[: ROUTE_SEGMENTS + 1]
    return f"{offer.method} {'/'.join(segments)}"
