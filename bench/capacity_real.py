"""Cost of the control plane in real gateway processes, by fleet size.

Only a few gateways run. A source gateway has the load reports and evidence of
the whole fleet. A relay calls the source and is called by four gateways;
another gateway, which is called by none, also calls the source. The list of
instances has the whole fleet, but the control addresses of the other gateways
are replaced by that of the source or, for the callers, of the relay.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from azurewick.control.topology import rank_gateways
from azurewick.membership.view import parse_instances
from bench.capacity_calls import read_processor_s
from bench.capacity_fleet import build_configuration
from bench.capacity_fleet import build_instance_spec
from bench.capacity_fleet import build_settings
from bench.capacity_fleet import open_fleet
from bench.capacity_fleet import ProcessFleet
from bench.capacity_fleet import read_resident_mb
from bench.capacity_memory import build_instances

CUSTOMERS_AT_LARGEST_FLEET = 1700
LARGEST_GATEWAY_COUNT = 330
RELAY_CALLERS = 4
WARM_UP_S = 8.0
WINDOW_S = 10.0
DOMAIN = "domain-0"


@dataclass(frozen=True, kw_only=True, slots=True)
class RealFigures:
    """Share of a core, and resident memory in MB: at the end and peak."""

    processor_share: float
    resident_mb: float
    peak_mb: float


async def async_measure_real(
    gateways: int, agents: int
) -> dict[str, RealFigures]:
    """Return the figures of three gateways by role.

    "gateway" has no callers, "relay" has some, and "off" runs without the
    control plane.
    """
    async with open_fleet() as fleet:
        names = await _async_start_processes(fleet, gateways, agents)
        await asyncio.sleep(WARM_UP_S)
        pids = {role: fleet.read_pid(name) for role, name in names.items()}
        before = {role: read_processor_s(pid) for role, pid in pids.items()}
        await asyncio.sleep(WINDOW_S)
        figures = {}
        for role, pid in pids.items():
            spent_s = read_processor_s(pid) - before[role]
            resident_mb, peak_mb = read_resident_mb(pid)
            figures[role] = RealFigures(
                processor_share=spent_s / WINDOW_S,
                resident_mb=resident_mb,
                peak_mb=peak_mb,
            )
        return figures


async def _async_start_processes(
    fleet: ProcessFleet, gateways: int, agents: int
) -> dict[str, str]:
    """Start all processes; return the measured names by role."""
    configuration = build_configuration(
        CUSTOMERS_AT_LARGEST_FLEET * gateways // LARGEST_GATEWAY_COUNT
    )
    instances = build_instances(gateways, agents)
    ranked = _rank_domain_gateways(instances)
    # The two gateways that rank first are the relays of the domain.
    source, relay, uncalled_gateway, *callers = (
        ranked[1],
        ranked[0],
        *ranked[-1:1:-1],
    )
    settings = {
        name: build_settings("gateway", name, "")
        for name in (source, relay, uncalled_gateway, *callers[:RELAY_CALLERS])
    }
    for name in settings:
        instances[name] |= build_instance_spec(settings[name])
    source_instances = _redirect_gateways(
        instances, settings[source]["control_address"]
    )
    relay_instances = _redirect_gateways(
        instances, settings[relay]["control_address"]
    )
    source_store_url = await fleet.async_start_store(
        "upper", configuration, source_instances
    )
    relay_store_url = await fleet.async_start_store(
        "lower", configuration, relay_instances
    )
    for name, gateway_settings in settings.items():
        is_caller = name in callers
        gateway_settings["store"]["url"] = (
            relay_store_url if is_caller else source_store_url
        )
        upstream = settings[relay if is_caller else source]
        gateway_settings["peers"] = [upstream["control_address"]]
        mode = "source" if name == source else "gateway-loaded"
        await fleet.async_start_daemon(
            mode, _build_content(gateway_settings, gateways, agents)
        )
    off = build_settings("gateway", "gateway-off", "http://127.0.0.1:1")
    content = _build_content(off, gateways, agents)
    content |= {"configuration": build_configuration(1), "instances": {}}
    await fleet.async_start_daemon("gateway-off", content)
    return {"gateway": uncalled_gateway, "relay": relay, "off": "gateway-off"}


def _build_content(
    settings: dict[str, Any], gateways: int, agents: int
) -> dict[str, Any]:
    return {"settings": settings, "gateways": gateways, "agents": agents}


def _rank_domain_gateways(instances: dict[str, Any]) -> list[str]:
    """Return the names of the gateways of DOMAIN, its relays first."""
    gateways = [
        gateway
        for gateway in parse_instances(instances).gateways.values()
        if gateway.failure_domain == DOMAIN
    ]
    return [gateway.name for gateway in rank_gateways(gateways, DOMAIN)]


def _redirect_gateways(
    instances: dict[str, Any], address: str
) -> dict[str, Any]:
    """Return the specs with one control address for all gateways."""
    return {
        name: spec | {"control_address": address}
        if spec["role"] == "gateway"
        else spec
        for name, spec in instances.items()
    }
