"""Control part of real gateway processes by the size of the fleet.

A source process has the loads and evidence of the whole fleet. A relay calls
it and is called by four gateways; another gateway without callers calls the
source as well. All addresses of the list lead to these processes.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from azurewick.control.topology import rank_gateways
from azurewick.membership.view import parse_instances
from bench.capacity_calls import read_processor_s
from bench.capacity_fleet import build_configuration
from bench.capacity_fleet import build_listed
from bench.capacity_fleet import build_settings
from bench.capacity_fleet import open_fleet
from bench.capacity_fleet import read_resident_mb
from bench.capacity_fleet import RealFleet
from bench.capacity_memory import build_instances

CUSTOMERS_AT_LARGEST = 1700
LARGEST = 330
CALLERS = 4
SETTLE_S = 8.0
WINDOW_S = 10.0
DOMAIN = "domain-0"


@dataclass(frozen=True, kw_only=True, slots=True)
class RealFigures:
    """Share of a core, and resident memory in MB: at the end and peak."""

    processor: float
    resident_mb: float
    peak_mb: float


async def async_measure_real(
    gateways: int, agents: int
) -> dict[str, RealFigures]:
    """Return the figures of a gateway, a relay and one without control."""
    async with open_fleet() as fleet:
        names = await _async_start(fleet, gateways, agents)
        await asyncio.sleep(SETTLE_S)
        pids = {role: fleet.read_pid(name) for role, name in names.items()}
        before = {role: read_processor_s(pid) for role, pid in pids.items()}
        await asyncio.sleep(WINDOW_S)
        figures = {}
        for role, pid in pids.items():
            spent_s = read_processor_s(pid) - before[role]
            resident_mb, peak_mb = read_resident_mb(pid)
            figures[role] = RealFigures(
                processor=spent_s / WINDOW_S,
                resident_mb=resident_mb,
                peak_mb=peak_mb,
            )
        return figures


async def _async_start(
    fleet: RealFleet, gateways: int, agents: int
) -> dict[str, str]:
    """Start all processes; return the names of the measured ones."""
    configuration = build_configuration(
        CUSTOMERS_AT_LARGEST * gateways // LARGEST
    )
    listed = build_instances(gateways, agents)
    ranked = _rank(listed)
    source, relay, plain, *callers = ranked[1], ranked[0], *ranked[-1:1:-1]
    settings = {
        name: build_settings("gateway", name, "")
        for name in (source, relay, plain, *callers[:CALLERS])
    }
    for name in settings:
        listed[name] |= build_listed(settings[name])
    upper = _lead_to(listed, settings[source]["control_address"])
    lower = _lead_to(listed, settings[relay]["control_address"])
    upper_url = await fleet.async_start_store("upper", configuration, upper)
    lower_url = await fleet.async_start_store("lower", configuration, lower)
    for name, one in settings.items():
        is_caller = name in callers
        one["store"]["url"] = lower_url if is_caller else upper_url
        above = settings[relay if is_caller else source]
        one["peers"] = [above["control_address"]]
        mode = "source" if name == source else "gateway-loaded"
        await fleet.async_start_daemon(mode, _content(one, gateways, agents))
    off = build_settings("gateway", "gateway-off", "http://127.0.0.1:1")
    content = _content(off, gateways, agents)
    content |= {"configuration": build_configuration(1), "instances": {}}
    await fleet.async_start_daemon("gateway-off", content)
    return {"gateway": plain, "relay": relay, "off": "gateway-off"}


def _content(
    settings: dict[str, Any], gateways: int, agents: int
) -> dict[str, Any]:
    return {"settings": settings, "gateways": gateways, "agents": agents}


def _rank(listed: dict[str, Any]) -> list[str]:
    """Return the gateways of one domain, its relays first."""
    gateways = [
        one
        for one in parse_instances(listed).gateways.values()
        if one.failure_domain == DOMAIN
    ]
    return [one.name for one in rank_gateways(gateways, DOMAIN)]


def _lead_to(listed: dict[str, Any], address: str) -> dict[str, Any]:
    """Return the list with one control address for all gateways."""
    return {
        name: spec | {"control_address": address}
        if spec["role"] == "gateway"
        else spec
        for name, spec in listed.items()
    }
