"""Builders of instances, configurations and settings for tests."""

from __future__ import annotations

import asyncio

from azurewick.membership.view import parse_instances
from azurewick.models import LoadReport
from azurewick.settings.models import GatewaySettings

MAX_POLLS = 2000


def agent_spec(state="live", pool="chat", domain="lima-a", address=None):
    return {
        "role": "agent",
        "state": state,
        "region": "lima",
        "failure_domain": domain,
        "control_address": address or "127.0.0.1:1",
        "address": "127.0.0.1:2",
        "pool": pool,
        "kind": "model",
        "version": "v1",
    }


def gateway_spec(address="127.0.0.1:1", domain="lima-a", region="lima"):
    return {
        "role": "gateway",
        "state": "live",
        "region": region,
        "failure_domain": domain,
        "control_address": address,
    }


def configuration_spec(customers=1):
    return {
        "pools": [{"name": "chat", "kind": "model"}],
        "classes": [
            {
                "name": "quick",
                "pool": "chat",
                "tier": 0,
                "target": {"first_token_s": 1.0},
            }
        ],
        "customers": [
            {"name": f"customer-{number}", "classes": ["quick"]}
            for number in range(customers)
        ],
    }


def load_report(name="agent-1", incarnation="i1", **fields):
    return LoadReport(
        backend_server=name, incarnation=incarnation, version="v1", **fields
    )


def gateway_settings(name="gateway-1", **fields):
    values = {
        "role": "gateway",
        "name": name,
        "region": "lima",
        "failure_domain": "lima-a",
        "address": "127.0.0.1:1",
        # Port 0, since several tests may listen on one machine at once.
        "control_address": "127.0.0.1:0",
        "store": {"url": "http://127.0.0.1:1"},
    }
    return GatewaySettings.model_validate(values | fields)


async def async_until(condition):
    """Wait for a condition; MAX_POLLS only ends a test that hangs."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition not met")


def update_list(view, specs, version, now_s):
    return view.update_list(parse_instances(specs), version, now_s)
