"""Lease in the store, held by at most one process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from logging import getLogger
from random import Random

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.lease.decisions import DEFAULT_LEASE_DURATION_S
from azurewick.lease.decisions import LeaseDecider
from azurewick.lease.decisions import LeaseStep
from azurewick.lease.decisions import PLURAL_LEASES
from azurewick.lease.decisions import RENEWALS_PER_DURATION
from azurewick.store.protocols import ObjectStore
from azurewick.store.protocols import StoredObject

_LOGGER = getLogger(__name__)

# A holder decides this often in a renewal interval, other processes once.
STEPS_PER_RENEWAL = 4


class LeaseCoordinator:
    """Acquires, renews and releases one lease.

    Callers get fencing_number right before each action. After a pause that
    outlasted the lease it is None at once, without a read from the store.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        holder: str,
        clock: Callable[[], float],
        *,
        duration_s: float = DEFAULT_LEASE_DURATION_S,
        random: Random | None = None,
        is_candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        self._store = store
        self._name = name
        self._clock = clock
        self._decider = LeaseDecider(name, holder, duration_s)
        self._interval_s = duration_s / RENEWALS_PER_DURATION
        self._random = random or Random(holder)
        self._is_candidate = is_candidate
        self._needs_read = True
        self._was_held = False

    def fencing_number(self, now_s: float) -> int | None:
        """Return the fencing number while the lease is certainly held."""
        return self._decider.fencing_number(now_s)

    async def async_run(self) -> None:
        """Acquire the lease and keep it until cancelled."""
        while True:
            is_held = self.fencing_number(self._clock()) is not None
            if is_held or self._is_candidate():
                try:
                    await self.async_step()
                except AzurewickError as err:
                    _LOGGER.debug(
                        "step of lease %s failed: %s", self._name, err
                    )
            self._log_change()
            wait_s = self._interval_s
            if self.fencing_number(self._clock()) is not None:
                wait_s /= STEPS_PER_RENEWAL
            await asyncio.sleep(wait_s * self._random.uniform(0.8, 1.0))

    async def async_step(self) -> None:
        """Read the lease when needed and take the next step.

        Raises the AzurewickError of the ObjectStore call. After an error the
        lease object is read back before the next write.
        """
        if self._needs_read or self.fencing_number(self._clock()) is None:
            await self._async_read()
        now_s = self._clock()
        step = self._decider.decide(now_s)
        if step is LeaseStep.WAIT:
            return
        item = self._decider.prepare(step, now_s)
        self._needs_read = True
        if step is LeaseStep.CREATE:
            written = await self._store.async_create(
                PLURAL_LEASES, self._name, item.spec
            )
        else:
            written = await self._store.async_update(item)
        self._observe(written)

    async def async_release(self) -> None:
        """Release the lease, so that others needn't wait until it expires.

        When the store doesn't answer, the lease expires by itself.
        """
        item = self._decider.prepare_release()
        if item is None:
            return
        self._needs_read = True
        try:
            await self._store.async_update(item)
        except AzurewickError as err:
            if err.outcome is not Outcome.NOT_RUN:
                _LOGGER.info(
                    "release of lease %s not confirmed: %s", self._name, err
                )

    async def _async_read(self) -> None:
        item: StoredObject | None
        try:
            item = await self._store.async_get(PLURAL_LEASES, self._name)
        except AzurewickError as err:
            if err.code is not ErrorCode.STORE_NOT_FOUND:
                raise
            item = None
        self._observe(item)

    def _observe(self, item: StoredObject | None) -> None:
        self._decider.observe(item, self._clock())
        self._needs_read = False

    def _log_change(self) -> None:
        number = self.fencing_number(self._clock())
        if (number is not None) == self._was_held:
            return
        self._was_held = number is not None
        if self._was_held:
            _LOGGER.info(
                "lease %s acquired, fencing number %s", self._name, number
            )
        else:
            _LOGGER.warning("lease %s lost", self._name)
