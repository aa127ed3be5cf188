"""Tests of order signatures."""

from __future__ import annotations

from unittest import TestCase

from azurewick.control import control_pb2 as pb
from azurewick.control.authentication import OrderAuthenticator
from azurewick.errors import AzurewickError
from azurewick.settings.models import OrderKey

OLD = OrderKey(key_id="old", secret="o" * 32)
NEW = OrderKey(key_id="new", secret="n" * 32)
ORDER = pb.OrderRequest(
    order_id="1", lease="moves", fencing_number=7, action="drain"
)
NOW_S = 1000.0


class OrderAuthenticatorTest(TestCase):
    """Guards against forged, altered and replayed orders.

    An agent that accepts one drains or changes its backend server for a sender
    without a valid key, or once more on an old order.
    """

    def test_refused_orders(self):
        for name, fields, now_s in (
            ("other action", {"action": "resume"}, NOW_S),
            ("other number", {"fencing_number": 8}, NOW_S),
            ("moved bytes", {"order_id": "", "lease": "1moves"}, NOW_S),
            ("unknown key", {"key_id": "none"}, NOW_S),
            ("other key", {"key_id": "new"}, NOW_S),
            ("new time", {"issued_at_s": 1001}, NOW_S),
            ("no signature", {"signature": b""}, NOW_S),
            ("too old", {}, NOW_S + 61),
            ("from the future", {}, NOW_S - 61),
        ):
            with self.subTest(name):
                order = OrderAuthenticator([OLD]).sign(ORDER, NOW_S)
                for field, value in fields.items():
                    setattr(order, field, value)
                with self.assertRaises(AzurewickError):
                    OrderAuthenticator([OLD, NEW]).verify(order, now_s)

    def test_keys_rotate(self):
        for signer, verifier in (
            ([OLD], [OLD, NEW]),
            ([NEW, OLD], [OLD, NEW]),
            ([NEW], [NEW, OLD]),
        ):
            order = OrderAuthenticator(signer).sign(ORDER, NOW_S)
            OrderAuthenticator(verifier).verify(order, NOW_S + 59)
