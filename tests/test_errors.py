"""Tests of the JSON error body."""

from __future__ import annotations

from unittest import TestCase

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step


class ErrorBodyTest(TestCase):
    """Guards against errors that lose fields between two processes."""

    def test_round_trip_keeps_each_field(self):
        err = AzurewickError(
            ErrorCode.OVERLOADED,
            "queue is full",
            step=Step.QUEUE,
            peer="agent-1",
            outcome=Outcome.NOT_RUN,
            retry_after_s=1.5,
        )
        decoded = AzurewickError.from_body(err.as_body())
        self.assertEqual(err.as_body(), decoded.as_body())
        self.assertEqual(503, decoded.http_status)

    def test_invalid_error_bodies_are_rejected(self):
        for body in ({}, [], {"error": "text"}, {"error": {}}):
            with self.assertRaises(ValueError):
                AzurewickError.from_body(body)
