"""Operator's side of the configuration: read, apply, wait."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
from random import Random
from typing import Any

from grpclib.exceptions import GRPCError

from azurewick.configuration.snapshot import build_snapshot
from azurewick.control import control_pb2 as pb
from azurewick.control.channels import ChannelPool
from azurewick.control.control_grpc import ControlStub
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.store.budget import Backoff
from azurewick.store.protocols import ObjectStore
from azurewick.store.protocols import StoredObject

PLURAL = "configurations"
NAME = "fleet"
ATTR_OPERATIONS = "operations"
ROLE_OPERATOR = "operator"
# The operations that are kept to resolve lost answers. Another 15 operators
# would have to write during one read-back to hide an operation.
MAX_OPERATIONS = 16
MAX_UINT64 = 2**64 - 1
READ_BACK_ATTEMPTS = 6
ASK_TIMEOUT_S = 1.0
ASK_INTERVAL_S = 0.5
MAX_CONCURRENT_ASKS = 32


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplyResult:
    """Result of an accepted change.

    revision is the current revision. superseded says that another change
    came after this one already.
    """

    revision: int
    superseded: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class InForceReport:
    """Gateways that have a revision, or a newer one, and those without."""

    revision: int
    in_force: int
    behind: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Return whether each live gateway has the revision."""
        return not (self.behind or self.unreachable)


class ConfigurationCoordinator:
    """Changes the configuration with conditional updates."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Callable[[], float],
        random: Random | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._random = random or Random()

    async def async_get(self) -> StoredObject | None:
        """Return the stored configuration; None before the first.

        Raises AzurewickError as ObjectStore says.
        """
        try:
            return await self._store.async_get(PLURAL, NAME)
        except AzurewickError as err:
            if err.code is ErrorCode.STORE_NOT_FOUND:
                return None
            raise

    async def async_apply(
        self, spec: dict[str, Any], expected_revision: int, operation_id: str
    ) -> ApplyResult:
        """Write a configuration over the expected revision, 0 for none.

        The same operation_id may be applied again; it takes effect once.
        Raises AzurewickError: invalid_configuration; store_conflict when
        the revision is another one; store_unavailable with outcome unknown
        when it can't be found out whether the change took effect.
        """
        build_snapshot(spec, expected_revision)
        backoff = Backoff(self._random)
        outcome = Outcome.NOT_RUN
        last_error: AzurewickError | None = None
        for attempt in range(READ_BACK_ATTEMPTS):
            if attempt:
                await asyncio.sleep(
                    backoff.next_wait_s(
                        last_error.retry_after_s if last_error else None
                    )
                )
            try:
                current = await self.async_get()
                done = _find_operation(current, operation_id)
                if done is not None:
                    return done
                _check_revision(current, expected_revision)
                written = await self._async_write(current, spec, operation_id)
                return ApplyResult(revision=written.version)
            except AzurewickError as err:
                last_error = err
                if err.outcome is Outcome.UNKNOWN:
                    outcome = Outcome.UNKNOWN
                elif not _may_retry(err):
                    raise
        assert last_error is not None
        raise AzurewickError(
            last_error.code,
            f"the change was not confirmed: {last_error.message}",
            step=Step.CONFIGURE,
            peer=last_error.peer,
            outcome=outcome,
        ) from last_error

    async def async_wait_in_force(
        self, revision: int, timeout_s: float
    ) -> InForceReport:
        """Ask all live gateways until each has a revision or time is up.

        Raises AzurewickError when the store can't list the gateways.
        """
        waiting = await self._async_list_gateways()
        total = len(waiting)
        deadline_s = self._clock() + timeout_s
        channels = ChannelPool(maximum=MAX_CONCURRENT_ASKS)
        try:
            while True:
                found = await self._async_ask_all(waiting, channels)
                waiting = {
                    name: address
                    for name, address in waiting.items()
                    if (found[name] or 0) < revision
                }
                if not waiting or self._clock() >= deadline_s:
                    break
                await asyncio.sleep(ASK_INTERVAL_S)
        finally:
            channels.close()
        return InForceReport(
            revision=revision,
            in_force=total - len(waiting),
            behind=_select(waiting, lambda name: found[name] is not None),
            unreachable=_select(waiting, lambda name: found[name] is None),
        )

    async def _async_write(
        self,
        current: StoredObject | None,
        spec: dict[str, Any],
        operation_id: str,
    ) -> StoredObject:
        earlier = _operations(current)[-(MAX_OPERATIONS - 1) :]
        status = {ATTR_OPERATIONS: [*earlier, operation_id]}
        if current is None:
            return await self._store.async_create(PLURAL, NAME, spec, status)
        return await self._store.async_update(
            replace(current, spec=spec, status=status)
        )

    async def _async_list_gateways(self) -> dict[str, str]:
        listed = await self._store.async_list("instances")
        return {
            item.name: item.spec["control_address"]
            for item in listed.items
            if item.spec.get("role") == "gateway"
            and item.spec.get("state") == "live"
        }

    async def _async_ask_all(
        self, gateways: dict[str, str], channels: ChannelPool
    ) -> dict[str, int | None]:
        """Return the revision of each gateway; None without an answer."""
        found: dict[str, int | None] = {}
        names = list(gateways)
        # A batch is as large as the pool, so no channel in use is closed.
        for start in range(0, len(names), MAX_CONCURRENT_ASKS):
            batch = names[start : start + MAX_CONCURRENT_ASKS]
            revisions = await asyncio.gather(
                *(_async_ask(gateways[name], channels) for name in batch)
            )
            found.update(zip(batch, revisions, strict=True))
        return found


async def _async_ask(address: str, channels: ChannelPool) -> int | None:
    # The large revisions keep the gateway from sending the documents.
    request = pb.SyncRequest(
        role=ROLE_OPERATOR,
        configuration_revision=MAX_UINT64,
        moves_revision=MAX_UINT64,
        instances_revision=MAX_UINT64,
    )
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            stub = ControlStub(channels.get(address))
            reply = await stub.Sync(request)
    except (GRPCError, OSError, TimeoutError):
        return None
    revision: int = reply.configuration_revision
    return revision


def _operations(current: StoredObject | None) -> list[str]:
    if current is None:
        return []
    operations = current.status.get(ATTR_OPERATIONS)
    return operations if isinstance(operations, list) else []


def _find_operation(
    current: StoredObject | None, operation_id: str
) -> ApplyResult | None:
    operations = _operations(current)
    if current is None or operation_id not in operations:
        return None
    return ApplyResult(
        revision=current.version, superseded=operations[-1] != operation_id
    )


def _check_revision(
    current: StoredObject | None, expected_revision: int
) -> None:
    revision = current.version if current is not None else 0
    if revision == expected_revision:
        return
    by = _operations(current)[-1:] or ["another client"]
    raise AzurewickError(
        ErrorCode.STORE_CONFLICT,
        f"the configuration has revision {revision}, not"
        f" {expected_revision}; it was last changed by {by[0]}",
        step=Step.CONFIGURE,
    )


def _may_retry(err: AzurewickError) -> bool:
    # After a conflict at the write the next read tells who won.
    is_race = err.code is ErrorCode.STORE_CONFLICT and err.step is Step.STORE
    return is_race or err.code in (
        ErrorCode.STORE_UNAVAILABLE,
        ErrorCode.STORE_RATE_LIMITED,
    )


def _select(
    names: Sequence[str] | dict[str, str], condition: Callable[[str], bool]
) -> tuple[str, ...]:
    return tuple(sorted(name for name in names if condition(name)))
