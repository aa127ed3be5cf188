"""Tests that requests are sent only to servers in their home regions."""

from __future__ import annotations

import asyncio
from unittest import TestCase
from unittest.mock import patch

from azurewick.entry.backends import Backend
from azurewick.entry.dispatcher import Dispatcher
from azurewick.entry.home_regions import combine_regions
from azurewick.entry.home_regions import HomeRefusal
from azurewick.entry.home_regions import HomeRegions
from azurewick.entry.models import FleetConfiguration
from azurewick.entry.routes import RouteTable
from azurewick.errors import AzurewickError
from azurewick.helpers.bounded_head import BoundedHeadConnector
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
ALL: frozenset[str] = frozenset()
HOME = frozenset({"home"})
AWAY = frozenset({"away"})


def build_backend(domain):
    return Backend(entry=build_entry(domain, failure_domain=domain, slots=1))


class HomeRegionsTest(TestCase):
    """Guards against home regions that are out of date or not combined."""

    def setUp(self):
        self.refusals = []
        self.servers = [build_backend("north"), build_backend("unknown")]
        self.configure(ALL, ALL)
        self.homes = HomeRegions(
            configuration=lambda: self.configuration,
            regions=lambda: REGIONS,
            servers_of=lambda service: self.servers,
            on_refusal=lambda regions, why: self.refusals.append(why),
        )
        self.request = self.homes.bind(
            build_request(), build_route(), build_customer()
        )

    def configure(self, route, customer, version=1, path="/quotes/"):
        self.configuration = FleetConfiguration(
            version=version,
            routes=RouteTable(
                [build_route(home_regions=route, path_prefix=path)]
            ),
            services={},
            customers={"north": build_customer(home_regions=customer)},
            customer_by_key={},
        )

    def test_route_and_customer_restrict_together(self):
        for route, customer, expected in (
            (ALL, ALL, None),
            (HOME, ALL, HOME),
            (HOME | AWAY, HOME, HOME),
            (HOME, AWAY, frozenset()),
        ):
            found = combine_regions(
                build_route(home_regions=route),
                build_customer(home_regions=customer),
            )
            self.assertEqual(expected, found)

    def test_change_of_the_configuration_applies_to_a_waiting_request(self):
        self.assertIsNone(self.request.regions())
        self.configure(HOME, HOME | AWAY)
        self.assertEqual(
            [True, False], [self.request.allows(s) for s in self.servers]
        )
        # A route that is removed leaves its restriction.
        self.configure(AWAY, ALL, path="/other/")
        self.assertEqual(HOME, self.request.regions())

    def test_request_without_a_possible_server_is_refused_and_logged_once(
        self,
    ):
        for version, (homes, reason) in enumerate(
            (
                ((AWAY, ALL), HomeRefusal.NO_SERVER),
                ((HOME, AWAY), HomeRefusal.NO_COMMON_REGION),
            )
        ):
            self.configure(*homes, version)
            with self.assertLogs("azurewick.entry.home_regions") as logs:
                for _ in range(3):
                    with self.assertRaisesRegex(AzurewickError, "home region"):
                        self.request.raise_if_unservable("models")
            self.assertEqual(1, len(logs.records))
            self.assertEqual(reason, self.refusals[-1])


class HomeRegionsInstanceTest(EntryInstanceCase):
    """Guards against a send elsewhere, and regions that block each other."""

    async def async_put_homes(self, version, *regions):
        route = {**CONFIGURATION["routes"][1], "home_regions": regions}
        route["split"] = [{"service": "huvo11a", "weight": 1}]
        self.put_configuration(version, routes=[route])
        state = self.instance.state
        await self.async_until(lambda: state.configuration.version == version)

    async def test_full_region_neither_blocks_nor_takes_from_the_other(self):
        servers = [build_backend("north"), build_backend("far")]
        dispatcher = Dispatcher(
            lambda demand: [
                server
                for server in servers
                if REGIONS[server.entry.failure_domain]
                in (demand.current_home_regions() or REGIONS.values())
            ],
            build_placement(),
            DecayingRate(1.0),
            monotonic_s,
        )
        homes = [HOME] * 3

        def start(find_home_regions, wait_s):
            now_s = monotonic_s()
            demand = build_demand(
                target_s=now_s + wait_s,
                deadline_at_s=now_s + 9.0,
                find_home_regions=find_home_regions,
            )
            return asyncio.create_task(dispatcher.async_acquire(demand))

        servers[0].in_flight = 1
        first, *others = [
            start(lambda index=index: homes[index], 4.0) for index in range(3)
        ]
        await asyncio.sleep(0.01)
        # The work ahead takes 3 s, but not at this server.
        for regions in (AWAY, None):
            acquired = await start(lambda regions=regions: regions, 0.3)
            self.assertIs(servers[1], acquired)
            dispatcher.release(servers[1])
        homes[0] = AWAY
        dispatcher.assign_slots()
        self.assertIs(servers[1], await first)
        dispatcher.release(servers[1])
        for task in others:
            self.assertFalse(task.done())
            task.cancel()

    async def test_change_during_the_set_up_of_a_connection_stops_the_send(
        self,
    ):
        await self.async_start(replies(answer()))
        connect = BoundedHeadConnector.connect

        async def async_change_then_connect(*args, **kwargs):
            await self.async_put_homes(2, "away")
            return await connect(*args, **kwargs)

        with patch.object(
            BoundedHeadConnector, "connect", async_change_then_connect
        ):
            status, body, _ = await self.async_send()
        self.assertEqual(503, status)
        self.assertIn(b"no server in the home regions away", body)
        self.assertEqual([], self.servers[0].requests)
        await self.async_put_homes(3, "home")
        self.assertEqual(200, (await self.async_send())[0])
