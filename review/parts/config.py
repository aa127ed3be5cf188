"""Configuration documents of the operator."""

from __future__ import annotations

from typing import Any

from review.parts.client import HOST


def route(
    name: str, prefix: str, kind: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Return a route."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "type": kind,
        "goal_ms": 250,
        "priority": 0,
        "service": service,
        "attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    **fields: Any,
) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": "tenant-1", "api_keys": ["key-1"], "priority": 1}
        ],
        **fields,
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a plain service."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 310,
        "protocol": "h1",
        "tls": False,
    }


def engine_service(name: str) -> dict[str, Any]:
    """Return a service of model engines."""
    return {
        **plain_service(name),
        "engine": {
            "slots": 12,
            "kv_capacity": 728025,
            "stride": 6,
            "models": [{"name": "m"}],
        },
    }
