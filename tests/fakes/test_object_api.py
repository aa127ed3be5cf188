"""Contract tests of the object API stand-in."""

from __future__ import annotations

import json

from aiohttp import ClientError

from fakes.object_api import ObjectApi
from tests.fakes.builders import FakeTestCase

BASE_PATH = "/apis/azurewick.dev/v1"
LEASES_PATH = f"{BASE_PATH}/leases"
LEASE_PATH = f"{LEASES_PATH}/a"


def build_lease(version=None, **spec) -> dict:
    metadata = {"name": "a"}
    if version is not None:
        metadata["resourceVersion"] = version
    return {"metadata": metadata, "spec": spec}


class ObjectApiTest(FakeTestCase):
    """Guards against a stand-in that differs from the object API.

    The command-line tests and the demonstration would then run against
    statuses, watches or lost responses that the real store doesn't produce.
    """

    async def asyncSetUp(self):
        self.api = ObjectApi(history_length=3)
        await self.async_start_server(self.api)

    async def test_statuses_and_reasons(self):
        large = {"metadata": {"name": "b"}, "spec": {"x": "y" * 1_100_000}}
        condition = {"preconditions": {"resourceVersion": "2"}}
        table = [
            ("GET", LEASE_PATH, None, 404, "NotFound"),
            ("POST", LEASES_PATH, build_lease(n=1), 201, None),
            ("POST", LEASES_PATH, build_lease(n=1), 409, "AlreadyExists"),
            ("GET", LEASE_PATH, None, 200, None),
            ("PUT", LEASE_PATH, build_lease("2", n=2), 200, None),
            ("PUT", LEASE_PATH, build_lease("2", n=3), 409, "Conflict"),
            ("DELETE", LEASE_PATH, condition, 409, "Conflict"),
            ("POST", LEASES_PATH, large, 413, "RequestEntityTooLarge"),
            ("POST", LEASES_PATH, {}, 422, "Invalid"),
            (
                "POST",
                f"{BASE_PATH}/instances",
                build_lease(),
                405,
                "MethodNotAllowed",
            ),
            ("GET", f"{BASE_PATH}/others", None, 404, "NotFound"),
            ("DELETE", LEASE_PATH, None, 200, None),
        ]
        for method, path, body, status, reason in table:
            with self.subTest(method=method, path=path, status=status):
                got, answer = await self.async_call(method, path, body)
                self.assertEqual(status, got)
                if reason is not None:
                    self.assertEqual("Status", answer["kind"])
                    self.assertEqual(reason, answer["reason"])
                    self.assertEqual(status, answer["code"])
        _, counters = await self.async_call("GET", "/admin/counters")
        self.assertEqual(5, counters["calls"]["create"])
        self.assertEqual(3, counters["statuses"]["409"])

    async def test_watch_continues_a_list_without_a_gap(self):
        _, listed = await self.async_call("GET", LEASES_PATH)
        version = listed["metadata"]["resourceVersion"]
        await self.async_call("POST", LEASES_PATH, build_lease(n=1))
        url = f"{LEASES_PATH}?watch=true&timeoutSeconds=30&resourceVersion="
        async with self.session.get(url + version) as response:
            seen = [json.loads(await response.content.readline())]
            await self.async_call("PUT", LEASE_PATH, build_lease(n=2))
            await self.async_call("DELETE", LEASE_PATH)
            while len(seen) < 3:
                event = json.loads(await response.content.readline())
                if event["type"] != "BOOKMARK":
                    seen.append(event)
        self.assertEqual(
            ["ADDED", "MODIFIED", "DELETED"], [e["type"] for e in seen]
        )
        versions = [
            int(e["object"]["metadata"]["resourceVersion"]) for e in seen
        ]
        self.assertEqual(sorted(set(versions)), versions)
        self.assertGreater(versions[0], int(version))

    async def test_watch_ends_at_its_timeout_with_a_bookmark(self):
        url = f"{LEASES_PATH}?watch=true&timeoutSeconds=1.2&resourceVersion=1"
        async with self.session.get(url) as response:
            lines = (await response.text()).splitlines()
        self.assertEqual("BOOKMARK", json.loads(lines[0])["type"])

    async def test_watch_older_than_the_history_is_gone(self):
        for number in range(5):
            await self.async_call("POST", LEASES_PATH, build_lease(n=number))
            await self.async_call("DELETE", LEASE_PATH)
        status, answer = await self.async_call(
            "GET", f"{LEASES_PATH}?watch=true&resourceVersion=2"
        )
        self.assertEqual((410, "Expired"), (status, answer["reason"]))

    async def test_write_with_lost_answer_takes_effect(self):
        await self.async_call("POST", "/admin/faults", {"lose_answers": 1})
        await self.async_wait_until(lambda: self.api.faults.lose_answers == 1)
        with self.assertRaises(ClientError):
            await self.async_call("POST", LEASES_PATH, build_lease(n=1))
        status, answer = await self.async_call("GET", LEASE_PATH)
        self.assertEqual((200, {"n": 1}), (status, answer["spec"]))

    async def test_refuse_and_unavailable_outages(self):
        await self.async_call("POST", "/admin/faults", {"outage": "refuse"})
        await self.async_wait_until(lambda: self.api.faults.outage == "refuse")
        with self.assertRaises(ClientError):
            await self.async_call("GET", LEASES_PATH)
        await self.api.async_set_faults(type(self.api.faults)())
        self.assertEqual(200, (await self.async_call("GET", LEASES_PATH))[0])
        faults = {"outage": "unavailable", "outage_s": 600}
        await self.async_call("POST", "/admin/faults", faults)
        await self.async_wait_until(
            lambda: self.api.faults.outage == "unavailable"
        )
        status, answer = await self.async_call("GET", LEASES_PATH)
        self.assertEqual((503, "Status"), (status, answer["kind"]))
        await self.async_call("POST", "/admin/faults", {"outage_s": 0.01})
        await self.async_wait_until(lambda: self.api.faults.outage == "none")


class ObjectApiLimitTest(FakeTestCase):
    """Guards against a stand-in that ignores its rate limits or its lag.

    A program that calls the store too often, or that expects a change of an
    instance to be listed at once, would then go unnoticed.
    """

    async def test_reads_and_writes_have_separate_rate_limits(self):
        api = ObjectApi(reads_per_s=1000, writes_per_s=1)
        await self.async_start_server(api)
        await self.async_call("POST", LEASES_PATH, build_lease())
        async with self.session.post(
            LEASES_PATH, json=build_lease()
        ) as response:
            self.assertEqual(429, response.status)
            self.assertGreaterEqual(int(response.headers["Retry-After"]), 1)
        self.assertEqual(200, (await self.async_call("GET", LEASE_PATH))[0])

    async def test_instances_are_listed_after_the_lag(self):
        api = ObjectApi(instance_lag_s=0.2)
        await self.async_start_server(api)
        await self.async_call("PUT", "/admin/instances/i", {"role": "agent"})
        path = f"{BASE_PATH}/instances"
        _, before = await self.async_call("GET", path)
        await self.async_wait_until(
            lambda: api.objects.list_objects("instances")
        )
        _, after = await self.async_call("GET", path)
        self.assertEqual([], before["items"])
        self.assertEqual("agent", after["items"][0]["spec"]["role"])
