"""Signatures of the orders that controllers send to agents."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import sha256
import hmac

from azurewick.control import control_pb2 as pb
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.settings.models import OrderKey

# An order issued longer ago than this, or further in the future, is refused.
# The clocks of the instances differ by a few seconds at most.
ORDER_LIFETIME_S = 60.0


class OrderAuthenticator:
    """Signs orders with the first key and accepts signatures of any key.

    To rotate keys, append the new key on every instance, then move it to
    the first place, then remove the old key.
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
        """Return a copy of the order with key id, issue time and signature.

        now_s is wall-clock time. Raises AzurewickError with code
        unauthenticated when no key is configured.
        """
        if not self._signing_key_id:
            raise _unauthenticated("no order key is configured to sign with")
        signed = pb.OrderRequest()
        signed.CopyFrom(order)
        signed.key_id = self._signing_key_id
        signed.issued_at_s = int(now_s)
        secret = self._keys[self._signing_key_id]
        signed.signature = _compute_signature(signed, secret)
        return signed

    def verify(self, order: pb.OrderRequest, now_s: float) -> None:
        """Check the key, signature and age of an order.

        now_s is wall-clock time. Raises AzurewickError with code
        unauthenticated when one of them is wrong.
        """
        secret = self._keys.get(order.key_id)
        if secret is None:
            raise _unauthenticated(f"unknown order key {order.key_id[:64]!r}")
        expected = _compute_signature(order, secret)
        if not hmac.compare_digest(expected, order.signature):
            raise _unauthenticated(
                f"signature of order {order.order_id[:64]!r} does not match"
            )
        if abs(now_s - order.issued_at_s) > self._lifetime_s:
            raise _unauthenticated(
                f"order issued at {order.issued_at_s} is more than"
                f" {self._lifetime_s} s from the present"
            )


def _compute_signature(order: pb.OrderRequest, secret: bytes) -> bytes:
    """Return the HMAC-SHA-256 over all fields except the signature.

    Each field is preceded by its length. Otherwise orders whose fields differ
    but join to the same bytes would have the same signature.
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


def _unauthenticated(message: str) -> AzurewickError:
    return AzurewickError(ErrorCode.UNAUTHENTICATED, message, step=Step.ORDER)
