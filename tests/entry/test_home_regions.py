"""Tests that requests are sent only to servers in their home regions."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase
from unittest import TestCase

from azurewick.entry.backends import Backend
from azurewick.entry.dispatcher import Dispatcher
from azurewick.entry.home_regions import combine_regions
from azurewick.entry.home_regions import HomeRefusal
from azurewick.entry.home_regions import HomeRegions
from azurewick.entry.models import FleetConfiguration
from azurewick.entry.routes import RouteTable
from azurewick.errors import AzurewickError
from azurewick.helpers.clock import monotonic_s
from azurewick.util.decaying_rate import DecayingRate
from tests.entry.builders import answer
from tests.entry.builders import build_customer
from tests.entry.builders import build_demand
from tests.entry.builders import build_entry
from tests.entry.builders import build_placement
from tests.entry.builders import build_request
from tests.entry.builders import build_route
from tests.entry.builders import replies
from tests.entry.instance_case import EntryInstanceCase
from tests.platform.builders import CONFIGURATION

REGIONS = {"north": "home", "far": "away"}
HOME = frozenset({"home"})
AWAY = frozenset({"away"})


def build_configuration(
    route_homes=frozenset(), customer_homes=frozenset(), version=1
):
    customer = build_customer(home_regions=customer_homes)
    return FleetConfiguration(
        version=version,
        routes=RouteTable([build_route(home_regions=route_homes)]),
        services={},
        customers={customer.name: customer},
        customer_by_key={},
    )


def build_backend(name, domain):
    return Backend(entry=build_entry(name, failure_domain=domain, slots=1))


class HomeRegionsTest(TestCase):
    """Guards against home regions that are out of date or not combined."""

    def setUp(self):
        self.configuration = build_configuration()
        self.refusals = []
        self.servers = [build_backend("s1", "north"), build_backend("s2", "?")]
        self.homes = HomeRegions(
            configuration=lambda: self.configuration,
            regions=lambda: REGIONS,
            servers_of=lambda service: self.servers,
            on_refusal=lambda regions, why: self.refusals.append(why),
        )
        self.request = self.homes.bind(
            build_request(), build_route(), build_customer()
        )

    def test_route_and_customer_restrict_together(self):
        both = HOME | AWAY
        for route, customer, expected in (
            (frozenset(), frozenset(), None),
            (HOME, frozenset(), HOME),
            (frozenset(), AWAY, AWAY),
            (both, HOME, HOME),
            (HOME, AWAY, frozenset()),
        ):
            found = combine_regions(
                build_route(home_regions=route),
                build_customer(home_regions=customer),
            )
            self.assertEqual(expected, found)

    def test_change_of_the_configuration_applies_to_a_waiting_request(self):
        self.assertIsNone(self.request.regions())
        self.configuration = build_configuration(HOME, HOME | AWAY)
        self.assertEqual(HOME, self.request.regions())
        self.assertTrue(self.request.allows(self.servers[0]))
        self.assertFalse(self.request.allows(self.servers[1]))

    def test_route_that_was_removed_keeps_its_home_regions(self):
        route = build_route(home_regions=HOME, path_prefix="/gone/")
        request = self.homes.bind(
            build_request(path="/gone/1"), route, build_customer()
        )
        self.assertEqual(HOME, request.regions())

    def test_request_without_a_possible_server_is_refused_and_logged_once(
        self,
    ):
        for version, (homes, reason) in enumerate(
            (
                ((AWAY, frozenset()), HomeRefusal.NO_SERVER),
                ((HOME, AWAY), HomeRefusal.NO_COMMON_REGION),
            ),
            1,
        ):
            self.configuration = build_configuration(*homes, version)
            with self.assertLogs("azurewick.entry.home_regions") as logs:
                for _ in range(3):
                    with self.assertRaisesRegex(AzurewickError, "home region"):
                        self.request.raise_if_unservable("models")
            self.assertEqual(1, len(logs.records))
            self.assertEqual(reason, self.refusals[-1])


class RestrictedQueueTest(IsolatedAsyncioTestCase):
    """Guards against waiting requests that block those of other regions."""

    def setUp(self):
        self.servers = [
            build_backend("s1", "north"),
            build_backend("s2", "far"),
        ]
        self.dispatcher = Dispatcher(
            self.find_candidates,
            build_placement(),
            DecayingRate(1.0),
            monotonic_s,
        )

    def find_candidates(self, demand):
        homes = demand.current_home_regions()
        return [
            server
            for server in self.servers
            if homes is None or REGIONS[server.entry.failure_domain] in homes
        ]

    def start(self, find_home_regions):
        now_s = monotonic_s()
        demand = build_demand(
            target_s=now_s + 3.0,
            deadline_at_s=now_s + 9.0,
            find_home_regions=find_home_regions,
        )
        return asyncio.create_task(self.dispatcher.async_acquire(demand))

    async def test_full_region_does_not_hold_up_the_other_one(self):
        self.servers[0].in_flight = 12
        waiting = [self.start(lambda: HOME) for _ in range(6)]
        await asyncio.sleep(0.01)
        # Six requests of 1 s each are ahead, but can't use the free server.
        self.assertIs(self.servers[1], await self.start(lambda: None))
        self.servers[1].in_flight = 0
        self.assertIs(self.servers[1], await self.start(lambda: AWAY))
        for task in waiting:
            task.cancel()

    async def test_waiting_request_follows_a_new_restriction(self):
        self.servers[0].in_flight = self.servers[1].in_flight = 1
        homes = None
        waiting = self.start(lambda: homes)
        await asyncio.sleep(0.01)
        homes = HOME
        self.dispatcher.release(self.servers[1])
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        self.dispatcher.release(self.servers[0])
        self.assertIs(self.servers[0], await waiting)


class HomeRegionsInstanceTest(EntryInstanceCase):
    """Guards against a send outside of the home regions by an instance."""

    def put_homes(self, version, *regions):
        route = {**CONFIGURATION["routes"][1], "home_regions": regions}
        route["split"] = [{"service": "huvo11a", "weight": 1}]
        self.put_configuration(version, routes=[route])

    async def test_request_is_refused_where_no_server_is_at_home(self):
        instance = await self.async_start(replies(answer()))
        self.put_homes(2, "away")
        await self.async_until(
            lambda: instance.state.configuration.version == 2
        )
        status, body, _ = await self.async_send()
        self.assertEqual(503, status)
        self.assertIn(b"no server in the home regions away", body)
        self.assertEqual([], self.servers[0].requests)
        self.put_homes(3, "home")
        await self.async_until(
            lambda: instance.state.configuration.version == 3
        )
        self.assertEqual(200, (await self.async_send())[0])

    async def test_change_while_the_connection_is_set_up_stops_the_send(self):
        instance = await self.async_start(replies(answer()))
        homes = instance.pools.home_regions
        connect = instance._client._async_request

        async def async_change_then_connect(call):
            homes.configuration = lambda: build_configuration(AWAY)
            return await connect(call)

        instance._client._async_request = async_change_then_connect
        homes.bind = lambda request, route, customer: HomeRegions.bind(
            homes, build_request(), route, customer
        )
        status, _, _ = await self.async_send()
        self.assertEqual(503, status)
        self.assertEqual([], self.servers[0].requests)
