"""Signatures of orders to agents."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import sha256
import hmac

from azurewick.control import control_pb2 as pb
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.settings.models import OrderKey

# An order that is older, or this far in the future, is refused. The clocks
# of the instances differ by less than a few seconds.
ORDER_LIFETIME_S = 60.0


class OrderAuthenticator:
    """Signs with the first key and verifies with each key.

    To rotate, add the new key last everywhere, then put it first, then
    remove the old one.
    """

    def __init__(
        self,
        keys: Sequence[OrderKey],
        *,
        lifetime_s: float = ORDER_LIFETIME_S,
    ) -> None:
        self._keys = {key.key_id: key.secret.encode() for key in keys}
        self._signing_key_id = keys[0].key_id if keys else ""
        self._lifetime_s = lifetime_s

    def sign(self, order: pb.OrderRequest, now_s: float) -> pb.OrderRequest:
        """Return the order with key id, time and signature.

        now_s is wall-clock time. Raises AzurewickError with code
        unauthenticated without a key.
        """
        if not self._signing_key_id:
            raise _refuse("no order key is set")
        signed = pb.OrderRequest()
        signed.CopyFrom(order)
        signed.key_id = self._signing_key_id
        signed.issued_at_s = int(now_s)
        secret = self._keys[self._signing_key_id]
        signed.signature = _compute_signature(signed, secret)
        return signed

    def verify(self, order: pb.OrderRequest, now_s: float) -> None:
        """Check an order; AzurewickError with code unauthenticated."""
        secret = self._keys.get(order.key_id)
        if secret is None:
            raise _refuse(f"unknown order key {order.key_id[:64]!r}")
        expected = _compute_signature(order, secret)
        if not hmac.compare_digest(expected, order.signature):
            raise _refuse("wrong signature")
        if abs(now_s - order.issued_at_s) > self._lifetime_s:
            raise _refuse("the order is too old or from the future")


def _compute_signature(order: pb.OrderRequest, secret: bytes) -> bytes:
    """Return the HMAC-SHA-256 over all fields but the signature.

    Each field is preceded by its length, so that bytes can't move from one
    field to another.
    """
    mac = hmac.new(secret, digestmod=sha256)
    for value in (
        order.order_id,
        order.lease,
        str(order.fencing_number),
        order.action,
        order.version,
        order.key_id,
        str(order.issued_at_s),
    ):
        data = value.encode()
        mac.update(len(data).to_bytes(4, "big"))
        mac.update(data)
    return mac.digest()


def _refuse(message: str) -> AzurewickError:
    return AzurewickError(ErrorCode.UNAUTHENTICATED, message, step=Step.ORDER)
