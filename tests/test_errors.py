"""Tests of the error body."""

from __future__ import annotations

from unittest import TestCase

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step


class ErrorBodyTest(TestCase):
    """Guards against an error that changes on its way between processes."""

    def test_round_trip_keeps_each_field(self):
        err = AzurewickError(
            ErrorCode.OVERLOADED,
            "queue is full",
            step=Step.QUEUE,
            peer="agent-1",
            outcome=Outcome.NOT_RUN,
            retry_after_s=1.5,
        )
        copy = AzurewickError.from_body(err.as_body())
        self.assertEqual(err.as_body(), copy.as_body())
        self.assertEqual(503, copy.http_status)

    def test_other_json_is_no_error_body(self):
        for body in ({}, [], {"error": "text"}, {"error": {}}):
            with self.assertRaises(ValueError):
                AzurewickError.from_body(body)
