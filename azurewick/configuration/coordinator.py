"""Reading and changing of the stored configuration by operators."""

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

CONFIGURATION_PLURAL = "configurations"
CONFIGURATION_NAME = "fleet"
ATTR_OPERATIONS = "operations"
ROLE_OPERATOR = "operator"
# Operation ids kept in the object's status. After a write without an answer
# they show whether it took effect. An id is lost only if 16 other changes
# are written before it is read back.
MAX_KEPT_OPERATIONS = 16
MAX_UINT64 = 2**64 - 1
MAX_APPLY_ATTEMPTS = 6
REVISION_QUERY_TIMEOUT_S = 1.0
REVISION_QUERY_INTERVAL_S = 0.5
MAX_CONCURRENT_QUERIES = 32


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplyResult:
    """Result of an accepted change.

    revision is the current revision of the configuration. superseded is set
    when a later change has already replaced this one.
    """

    revision: int
    superseded: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class InForceReport:
    """Gateways that have a revision and those that don't.

    in_force is the number that have it or a newer one. behind names those
    with an older one, and unreachable those that didn't answer.
    """

    revision: int
    in_force: int
    behind: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Return whether each live gateway has the revision."""
        return not (self.behind or self.unreachable)


class ConfigurationCoordinator:
    """Reads the configuration and changes it with conditional updates."""

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
        """Return the stored configuration, None when there is none yet.

        Raises AzurewickError as described in ObjectStore.
        """
        try:
            return await self._store.async_get(
                CONFIGURATION_PLURAL, CONFIGURATION_NAME
            )
        except AzurewickError as err:
            if err.code is ErrorCode.STORE_NOT_FOUND:
                return None
            raise

    async def async_apply(
        self, spec: dict[str, Any], expected_revision: int, operation_id: str
    ) -> ApplyResult:
        """Replace the configuration if it has the expected revision.

        A revision of 0 stands for no configuration. A repeated call with the
        same operation_id takes effect once. Raises AzurewickError:
        invalid_configuration; store_conflict when the revision differs;
        store_unavailable with outcome unknown when it can't be determined
        whether the change took effect.
        """
        build_snapshot(spec, expected_revision)
        backoff = Backoff(self._random)
        outcome = Outcome.NOT_RUN
        last_error: AzurewickError | None = None
        for attempt in range(MAX_APPLY_ATTEMPTS):
            if attempt:
                await asyncio.sleep(
                    backoff.next_wait_s(
                        last_error.retry_after_s if last_error else None
                    )
                )
            try:
                current = await self.async_get()
                previous_result = _find_operation(current, operation_id)
                if previous_result is not None:
                    return previous_result
                _check_revision(current, expected_revision)
                written = await self._async_write(current, spec, operation_id)
                return ApplyResult(revision=written.version)
            except AzurewickError as err:
                last_error = err
                if err.outcome is Outcome.UNKNOWN:
                    outcome = Outcome.UNKNOWN
                elif not _is_retryable(err):
                    raise
        assert last_error is not None
        raise AzurewickError(
            last_error.code,
            f"the change was not confirmed in {MAX_APPLY_ATTEMPTS} attempts:"
            f" {last_error.message}",
            step=Step.CONFIGURE,
            peer=last_error.peer,
            outcome=outcome,
        ) from last_error

    async def async_wait_in_force(
        self, revision: int, timeout_s: float
    ) -> InForceReport:
        """Query the live gateways until each has a revision or a timeout.

        Raises AzurewickError when the store can't list the gateways.
        """
        pending = await self._async_list_gateways()
        total = len(pending)
        deadline_s = self._clock() + timeout_s
        channels = ChannelPool(maximum=MAX_CONCURRENT_QUERIES)
        try:
            while True:
                revisions = await self._async_query_revisions(
                    pending, channels
                )
                pending = {
                    name: address
                    for name, address in pending.items()
                    if (revisions[name] or 0) < revision
                }
                if not pending or self._clock() >= deadline_s:
                    break
                await asyncio.sleep(REVISION_QUERY_INTERVAL_S)
        finally:
            channels.close()
        return InForceReport(
            revision=revision,
            in_force=total - len(pending),
            behind=_select_names(
                pending, lambda name: revisions[name] is not None
            ),
            unreachable=_select_names(
                pending, lambda name: revisions[name] is None
            ),
        )

    async def _async_write(
        self,
        current: StoredObject | None,
        spec: dict[str, Any],
        operation_id: str,
    ) -> StoredObject:
        earlier = _read_operation_ids(current)[-(MAX_KEPT_OPERATIONS - 1) :]
        status = {ATTR_OPERATIONS: [*earlier, operation_id]}
        if current is None:
            return await self._store.async_create(
                CONFIGURATION_PLURAL, CONFIGURATION_NAME, spec, status
            )
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

    async def _async_query_revisions(
        self, gateways: dict[str, str], channels: ChannelPool
    ) -> dict[str, int | None]:
        """Return the revision of each gateway, None without an answer."""
        revision_by_gateway: dict[str, int | None] = {}
        names = list(gateways)
        # The channel pool holds a whole batch, so it closes none in use.
        for start in range(0, len(names), MAX_CONCURRENT_QUERIES):
            batch = names[start : start + MAX_CONCURRENT_QUERIES]
            revisions = await asyncio.gather(
                *(
                    _async_query_revision(gateways[name], channels)
                    for name in batch
                )
            )
            revision_by_gateway.update(zip(batch, revisions, strict=True))
        return revision_by_gateway


async def _async_query_revision(
    address: str, channels: ChannelPool
) -> int | None:
    # Gateways send only documents that are newer than these revisions, so
    # the largest possible ones make them send none.
    request = pb.SyncRequest(
        role=ROLE_OPERATOR,
        configuration_revision=MAX_UINT64,
        moves_revision=MAX_UINT64,
        instances_revision=MAX_UINT64,
    )
    try:
        async with asyncio.timeout(REVISION_QUERY_TIMEOUT_S):
            stub = ControlStub(channels.get(address))
            reply = await stub.Sync(request)
    except (GRPCError, OSError, TimeoutError):
        return None
    revision: int = reply.configuration_revision
    return revision


def _read_operation_ids(current: StoredObject | None) -> list[str]:
    """Return the ids of the last applied operations, oldest first."""
    if current is None:
        return []
    operations = current.status.get(ATTR_OPERATIONS)
    return operations if isinstance(operations, list) else []


def _find_operation(
    current: StoredObject | None, operation_id: str
) -> ApplyResult | None:
    operations = _read_operation_ids(current)
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
    last_operation = _read_operation_ids(current)[-1:] or ["not recorded"]
    raise AzurewickError(
        ErrorCode.STORE_CONFLICT,
        f"the configuration has revision {revision}, expected"
        f" {expected_revision}; operation of the last change:"
        f" {last_operation[0]}",
        step=Step.CONFIGURE,
    )


def _is_retryable(err: AzurewickError) -> bool:
    # After a write conflict the next read shows which change took effect.
    is_race = err.code is ErrorCode.STORE_CONFLICT and err.step is Step.STORE
    return is_race or err.code in (
        ErrorCode.STORE_UNAVAILABLE,
        ErrorCode.STORE_RATE_LIMITED,
    )


def _select_names(
    names: Sequence[str] | dict[str, str], condition: Callable[[str], bool]
) -> tuple[str, ...]:
    return tuple(sorted(name for name in names if condition(name)))
