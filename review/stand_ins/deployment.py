"""Store, replicas and configuration of a small deployment."""

from __future__ import annotations

from collections.abc import Sequence

from fakes.platform_store import FakePlatformStore
from stand_ins.client import API_KEY
from stand_ins.client import CLIENT_HOST
from stand_ins.replica import Replica

ENGINE_SERVICE = "lm-servers"
PLAIN_SERVICE = "shop-app"
PATH_DRAFT = "/draft/"
PATH_ANSWER = "/answer/"
PATH_BOOK = "/book/"
PATH_LOOK = "/look/"
IDLE_TIMEOUT_MS = 15_000
MAX_BODY_BYTES = 4_194_304


async def async_start_store(
    replicas: Sequence[Replica], answer_attempts: int = 2
) -> tuple[FakePlatformStore, str]:
    """Start the store with the first configuration and the replicas."""
    store = FakePlatformStore()
    address = await store.async_start()
    for replica in replicas:
        await replica.async_start()
        store.put("servers", replica.name, replica.entry())
    store.put("config", "main", configuration(1, answer_attempts))
    return store, address


def configuration(version: int, answer_attempts: int) -> dict[str, object]:
    """Return a configuration like that of the site ficelle-lagon.

    answer_attempts is the number of attempts on the route `answer`.
    """
    return {
        "version": version,
        "routes": [
            _stream_route("draft", PATH_DRAFT, 600, 15_000, 0),
            {
                **_stream_route("answer", PATH_ANSWER, 400, 12_000, 1),
                "attempts": answer_attempts,
                "resumable": True,
            },
            _plain_route("book", PATH_BOOK, "non_idempotent", 1),
            _plain_route("look", PATH_LOOK, "idempotent", 2),
        ],
        "services": [
            {
                "name": ENGINE_SERVICE,
                "health_path": "/healthz",
                "max_conns": 360,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 11,
                    "kv_capacity": 537_912,
                    "stride": 6,
                },
            },
            {
                "name": PLAIN_SERVICE,
                "health_path": "/healthz",
                "max_conns": 96,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": IDLE_TIMEOUT_MS,
        },
        "tenants": [
            {
                "name": "tenant-1",
                "api_keys": [API_KEY],
                "priority": 1,
                "unit": "token_count",
                "default_tokens": 200,
                "rate_per_s": 0,
                "burst": 0,
            }
        ],
    }


def _stream_route(
    name: str, path: str, goal_ms: int, timeout_ms: int, priority: int
) -> dict[str, object]:
    return {
        "name": name,
        "host": CLIENT_HOST,
        "path_prefix": path,
        "type": "stream",
        "timeout_ms": timeout_ms,
        "goal_ms": goal_ms,
        "priority": priority,
        "service": ENGINE_SERVICE,
        "attempts": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
        "itl_target_ms": 400,
    }


def _plain_route(
    name: str, path: str, kind: str, attempts: int
) -> dict[str, object]:
    return {
        "name": name,
        "host": CLIENT_HOST,
        "path_prefix": path,
        "type": kind,
        "timeout_ms": 1000,
        "goal_ms": 200,
        "priority": 2,
        "service": PLAIN_SERVICE,
        "attempts": attempts,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
