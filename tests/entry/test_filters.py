"""Tests of the filters that each request passes."""

from __future__ import annotations

from unittest import IsolatedAsyncioTestCase

from azurewick.entry.context import EntryContext
from azurewick.entry.drain import Drain
from azurewick.entry.filters import DrainFilter
from azurewick.entry.models import RouteKind
from azurewick.entry.work import WorkEstimator
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from tests.entry.builders import build_request
from tests.entry.builders import build_route

STREAM = build_route(
    kind=RouteKind.STREAM, has_prompt=True, max_attempts=1, target_s=0.6
)
PLAIN = build_route(target_s=0.25)


class DrainFilterTest(IsolatedAsyncioTestCase):
    """Guards against answers that are cut off by a planned stop.

    The estimated run time decides how late in the drain a request is
    accepted; an estimate that is too small lets it run past the stop.
    """

    async def async_accepts(self, route, after_s, **request) -> bool:
        drain = Drain(8.0)
        drain.start(100.0)
        filters = DrainFilter(
            drain, WorkEstimator().max_work_s, lambda: 100.0 + after_s
        )
        context = EntryContext(
            http_request=None, request=build_request(**request)
        )
        context.route = route
        try:
            await filters.async_apply(context)
        except AzurewickError as err:
            self.assertIs(ErrorCode.DRAINING, err.code)
            return False
        return True

    async def test_announced_maximum_decides_instead_of_the_estimate(self):
        # With the expected output length, a request was accepted 5.5 s after
        # SIGTERM and its answer ran past the end of the process.
        sizes = {"input_tokens": 6000, "expected_output_tokens": 100}
        for output_tokens, after_s, accepted in (
            (200, 4.0, True),
            (200, 5.5, False),
            (1200, 2.5, True),
            (1200, 4.0, False),
        ):
            with self.subTest(output_tokens=output_tokens, after_s=after_s):
                self.assertEqual(
                    accepted,
                    await self.async_accepts(
                        STREAM, after_s, output_tokens=output_tokens, **sizes
                    ),
                )

    async def test_short_requests_are_accepted_until_shortly_before_the_stop(
        self,
    ):
        self.assertTrue(await self.async_accepts(PLAIN, 5.5))
        self.assertFalse(await self.async_accepts(PLAIN, 6.8))
