"""Orders to the agent: authentication and the fencing check."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict
from dataclasses import dataclass
from typing import Protocol

from azurewick.control.authentication import (
    OrderAuthenticator as OrderSignatures,
)
from azurewick.control.control_pb2 import OrderRequest
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.settings.models import OrderKey
from azurewick.store.protocols import ObjectStore

PLURAL_LEASES = "leases"
ATTR_FENCING_NUMBER = "fencing_number"


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentOrder:
    """Order of a lease holder; issued_at_s is wall-clock time."""

    order_id: str
    lease: str
    fencing_number: int
    action: str
    version: str
    key_id: str
    issued_at_s: int
    signature: bytes


class OrderAuthenticator(Protocol):
    """Check of who gives an order."""

    def verify(self, order: AgentOrder, now_s: float) -> None:
        """Raise AzurewickError unauthenticated for an order not signed."""


class KeyedAuthenticator:
    """Checks signatures with the agent's order keys; no key refuses all."""

    def __init__(self, keys: Sequence[OrderKey]) -> None:
        self._signatures = OrderSignatures(keys)

    def verify(self, order: AgentOrder, now_s: float) -> None:
        """Raise AzurewickError unauthenticated for an order not signed."""
        self._signatures.verify(OrderRequest(**asdict(order)), now_s)


class FencingGate:
    """Refuses orders whose fencing number is older than one seen before.

    The highest number is lost at a restart, so the lease object is read
    back from the store before the first order of a lease is obeyed.
    """

    def __init__(self, store: ObjectStore | None) -> None:
        self._store = store
        self._highest: dict[str, int] = {}

    async def async_check(self, lease: str, fencing_number: int) -> None:
        """Accept a number or raise AzurewickError.

        Codes: store_unavailable while the lease can't be read back and
        stale_fencing_number for an old number.
        """
        if lease not in self._highest:
            stored = await self._async_read_back(lease)
            # Another order may have been accepted during the read.
            self._highest[lease] = max(stored, self._highest.get(lease, 0))
        highest = self._highest[lease]
        if fencing_number < highest:
            raise AzurewickError(
                ErrorCode.STALE_FENCING_NUMBER,
                f"fencing number {fencing_number} of lease {lease} is older"
                f" than {highest}",
                step=Step.ORDER,
            )
        self._highest[lease] = fencing_number

    async def _async_read_back(self, lease: str) -> int:
        if self._store is None:
            raise self._unavailable(lease, "no store is connected")
        try:
            item = await self._store.async_get(PLURAL_LEASES, lease)
        except AzurewickError as err:
            raise self._unavailable(lease, str(err)) from err
        number = item.spec.get(ATTR_FENCING_NUMBER)
        if not isinstance(number, int):
            raise self._unavailable(lease, "the lease has no fencing number")
        return number

    def _unavailable(self, lease: str, reason: str) -> AzurewickError:
        return AzurewickError(
            ErrorCode.STORE_UNAVAILABLE,
            f"can't read the lease {lease} back: {reason}",
            step=Step.ORDER,
        )
