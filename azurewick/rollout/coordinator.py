"""Controller that advances the version moves in the store."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace
import logging
from typing import Protocol

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.rollout.counts import EvidenceRow
from azurewick.rollout.decisions import VersionCut
from azurewick.rollout.models import parse_move
from azurewick.rollout.models import PLURAL_VERSION_MOVES
from azurewick.rollout.models import VersionMove
from azurewick.rollout.planner import FleetSize
from azurewick.rollout.planner import MovePlanner
from azurewick.store.protocols import ObjectStore
from azurewick.store.protocols import StoredObject

_LOGGER = logging.getLogger(__name__)


class LeaseHolder(Protocol):
    """Holder of the lease on the version moves."""

    def fencing_number(self, now_s: float) -> int | None:
        """Return the fencing number while the lease is held, or None."""


class EvidenceSource(Protocol):
    """Evidence and cuts of all gateways that this one has received."""

    def evidence(self) -> Collection[EvidenceRow]:
        """Return the cumulative counts of the gateways."""

    def cuts(self) -> Collection[VersionCut]:
        """Return the versions that the gateways withdrew."""


class FleetView(Protocol):
    """View of the live backend servers of the pools."""

    def fleet_size(self, move: VersionMove) -> FleetSize:
        """Return the server counts of the move's new and old version."""


class MoveCoordinator:
    """Advances all moves by one step at each call, under a lease.

    All durable state is in the stored objects, so that a controller that
    takes over continues in the stored phase. A decision whose write failed
    or lost its answer is kept and compared with the object that the next
    step reads. It is written again only while the object still holds the
    move on which the decision was based.
    """

    def __init__(
        self,
        store: ObjectStore,
        lease: LeaseHolder,
        evidence: EvidenceSource,
        fleet: FleetView,
    ) -> None:
        self._store = store
        self._lease = lease
        self._evidence = evidence
        self._fleet = fleet
        self._planners: dict[str, MovePlanner] = {}
        # For each move id, the move a decision was based on and the decision
        # that may not have been written.
        self._pending: dict[str, tuple[VersionMove, VersionMove]] = {}
        # Object versions for which an invalid move has been logged.
        self._logged_invalid: dict[str, int] = {}
        self._is_store_failing = False

    async def async_step(self, now_s: float) -> None:
        """Advance each move once; now_s is wall-clock time.

        Store errors are logged once and retried at the next step.
        """
        fencing_number = self._lease.fencing_number(now_s)
        if fencing_number is None:
            self._planners.clear()
            self._pending.clear()
            return
        try:
            listed = await self._store.async_list(PLURAL_VERSION_MOVES)
            for item in listed.items:
                await self._async_try_advance(item, fencing_number, now_s)
        except AzurewickError as err:
            self._record_store_error(err)
            return
        if self._is_store_failing:
            _LOGGER.info("store answers again, version moves continue")
        self._is_store_failing = False

    async def _async_try_advance(
        self, item: StoredObject, fencing_number: int, now_s: float
    ) -> None:
        """Advance a move; a write conflict is resolved at the next step."""
        try:
            await self._async_advance(item, fencing_number, now_s)
        except AzurewickError as err:
            if err.code is not ErrorCode.STORE_CONFLICT:
                raise

    async def _async_advance(
        self, item: StoredObject, fencing_number: int, now_s: float
    ) -> None:
        move = self._parse(item)
        # A larger stored number means that another controller holds the lease.
        if move is None or move.fencing_number > fencing_number:
            return
        decided = self._decide(move, now_s)
        if self._is_stored(item, decided):
            self._pending.pop(move.id, None)
            return
        self._pending[move.id] = (move, decided)
        decided = replace(decided, fencing_number=fencing_number)
        await self._store.async_update(
            replace(item, status=decided.as_status())
        )
        self._pending.pop(move.id, None)
        if decided.state is not move.state or decided.share != move.share:
            _LOGGER.info(
                "version move %s of class %s to version %s: %s, share %.2f %s",
                move.id,
                move.request_class,
                move.version,
                decided.state,
                decided.share,
                decided.reason,
            )

    def _decide(self, move: VersionMove, now_s: float) -> VersionMove:
        if not move.is_progressing:
            self._planners.pop(move.id, None)
            return move
        planner = self._planners.get(move.id)
        if planner is None:
            planner = self._planners[move.id] = MovePlanner(move)
        planner.update(self._evidence.evidence(), now_s)
        for cut in self._evidence.cuts():
            if cut.move_id == move.id:
                return planner.roll_back(move, cut.reason)
        base_move, pending = self._pending.get(move.id, (None, move))
        if base_move != move:
            return planner.decide(move, self._fleet.fleet_size(move), now_s)
        # Keep the decision until it is written, also during a store outage.
        # New evidence may still turn an unwritten advance into a rollback.
        return planner.recheck(pending)

    def _parse(self, item: StoredObject) -> VersionMove | None:
        try:
            move = parse_move({"spec": item.spec, "status": item.status})
        except AzurewickError as err:
            if self._logged_invalid.get(item.name) != item.version:
                _LOGGER.warning(
                    "version move object %s is invalid, ignored: %s",
                    item.name,
                    err,
                )
            self._logged_invalid[item.name] = item.version
            return None
        self._logged_invalid.pop(item.name, None)
        return move

    def _is_stored(self, item: StoredObject, move: VersionMove) -> bool:
        stored = dict(item.status)
        stored["fencing_number"] = move.fencing_number
        return stored == move.as_status()

    def _record_store_error(self, err: AzurewickError) -> None:
        if not self._is_store_failing:
            _LOGGER.warning(
                "store error, version moves wait for the next step: %s", err
            )
        self._is_store_failing = True
