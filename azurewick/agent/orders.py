"""Orders to the agent: their signatures and fencing numbers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict
from dataclasses import dataclass
from typing import Protocol

from azurewick.control.authentication import (
    OrderAuthenticator as SignatureVerifier,
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
    """Signed order of a lease holder; issued_at_s is wall-clock time."""

    order_id: str
    lease: str
    fencing_number: int
    action: str
    version: str
    key_id: str
    issued_at_s: int
    signature: bytes


class OrderAuthenticator(Protocol):
    """Authentication of the sender of an order."""

    def verify(self, order: AgentOrder, now_s: float) -> None:
        """Check the signature and the age of an order.

        now_s is wall-clock time. Raises AzurewickError with code
        unauthenticated.
        """


class SignatureAuthenticator:
    """Verifies order signatures with the agent's order keys.

    Without a key every order is refused.
    """

    def __init__(self, keys: Sequence[OrderKey]) -> None:
        self._verifier = SignatureVerifier(keys)

    def verify(self, order: AgentOrder, now_s: float) -> None:
        """Check the signature and the age of an order.

        now_s is wall-clock time. Raises AzurewickError with code
        unauthenticated.
        """
        self._verifier.verify(OrderRequest(**asdict(order)), now_s)


class FencingCheck:
    """Refuses orders with a lower fencing number than one seen before.

    A restart loses the highest number of each lease. Before the first order
    of a lease is accepted, the number is read from the lease in the store.
    """

    def __init__(self, store: ObjectStore | None) -> None:
        self._store = store
        self._highest_by_lease: dict[str, int] = {}

    async def async_check(self, lease: str, fencing_number: int) -> None:
        """Accept a fencing number or raise AzurewickError.

        Codes: store_unavailable while the lease can't be read and
        stale_fencing_number for a number below the highest one.
        """
        if lease not in self._highest_by_lease:
            stored = await self._async_read_stored(lease)
            # Another order may have been accepted during the read.
            self._highest_by_lease[lease] = max(
                stored, self._highest_by_lease.get(lease, 0)
            )
        highest = self._highest_by_lease[lease]
        if fencing_number < highest:
            raise AzurewickError(
                ErrorCode.STALE_FENCING_NUMBER,
                f"fencing number {fencing_number} of lease {lease} is lower"
                f" than {highest}",
                step=Step.ORDER,
            )
        self._highest_by_lease[lease] = fencing_number

    async def _async_read_stored(self, lease: str) -> int:
        if self._store is None:
            raise self._build_unavailable_error(lease, "no store is connected")
        try:
            item = await self._store.async_get(PLURAL_LEASES, lease)
        except AzurewickError as err:
            raise self._build_unavailable_error(lease, str(err)) from err
        number = item.spec.get(ATTR_FENCING_NUMBER)
        if not isinstance(number, int):
            raise self._build_unavailable_error(
                lease, "the lease has no fencing number"
            )
        return number

    def _build_unavailable_error(
        self, lease: str, reason: str
    ) -> AzurewickError:
        return AzurewickError(
            ErrorCode.STORE_UNAVAILABLE,
            f"can't read lease {lease} from the store: {reason}",
            step=Step.ORDER,
        )
