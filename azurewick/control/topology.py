"""Tree of Sync calls: which gateways watch the store and whom nodes call.

The gateways of a failure domain are ranked by rendezvous hashing. The first
two are its relays, which watch the store. The ranking is read as a tree in
which each gateway serves FAN_OUT others, so that no node has to send each
change to a third of the fleet. The first gateway of a domain calls that of
its region's first domain (the region root). The other region roots call that
of the first region by name (the tree root).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh64_intdigest

from azurewick.models import GatewayInstance

RELAYS_PER_DOMAIN = 2
FAN_OUT = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Place of a node in the tree of the gateways that it knows.

    candidates are the gateways to call, the parent first. exchanges_digest is
    false for the tree root only: others call it and send their digest.
    """

    is_relay: bool
    candidates: tuple[GatewayInstance, ...]
    exchanges_digest: bool = True


def rank_gateways(
    gateways: Iterable[GatewayInstance], key: str
) -> list[GatewayInstance]:
    """Return gateways by their rendezvous hash with a key."""
    return sorted(
        gateways,
        key=lambda gateway: (
            xxh64_intdigest(f"{key}/{gateway.name}".encode()),
            gateway.name,
        ),
    )


def place_gateway(
    name: str,
    region: str,
    failure_domain: str,
    gateways: Iterable[GatewayInstance],
) -> Place:
    """Return the place of a gateway, also when it is not listed yet."""
    own = GatewayInstance(
        name=name,
        control_address="",
        failure_domain=failure_domain,
        region=region,
    )
    others = [gateway for gateway in gateways if gateway.name != name]
    ranked = _rank_by_domain([*others, own])
    rank = [one.name for one in ranked[failure_domain]].index(name)
    domains = _order_domains(ranked, region, failure_domain)
    region_roots = _find_region_roots(ranked)
    ancestors: list[GatewayInstance] = []
    parent = rank
    while parent > 0:
        parent = (parent - 1) // FAN_OUT
        ancestors.append(ranked[failure_domain][parent])
    if rank == 0 and region_roots[region].name != name:
        ancestors.append(region_roots[region])
    tree_root = region_roots[min(region_roots)]
    if rank == 0 and tree_root.name != name:
        ancestors.append(tree_root)
    first = [ranked[domain][0] for domain in domains]
    second = [one for domain in domains for one in ranked[domain][1:2]]
    candidates = dict.fromkeys([*ancestors, *first, *second])
    candidates.pop(own, None)
    return Place(
        is_relay=rank < RELAYS_PER_DOMAIN,
        candidates=tuple(candidates),
        exchanges_digest=tree_root.name != name,
    )


def place_agent(
    name: str,
    region: str,
    failure_domain: str,
    gateways: Iterable[GatewayInstance],
) -> Place:
    """Return the place of an agent, whose calls go to its domain first.

    The rendezvous hash spreads agents over the gateways of a domain.
    """
    ranked = rank_gateways(gateways, name)
    ranked.sort(
        key=lambda gateway: (
            gateway.failure_domain != failure_domain,
            gateway.region != region,
        )
    )
    return Place(is_relay=False, candidates=tuple(ranked))


def _rank_by_domain(
    gateways: list[GatewayInstance],
) -> dict[str, list[GatewayInstance]]:
    return {
        domain: rank_gateways(
            (one for one in gateways if one.failure_domain == domain), domain
        )
        for domain in sorted({one.failure_domain for one in gateways})
    }


def _order_domains(
    ranked: dict[str, list[GatewayInstance]], region: str, failure_domain: str
) -> list[str]:
    """Return the domains: the own one, those of the own region, others."""
    return sorted(
        ranked,
        key=lambda domain: (
            domain != failure_domain,
            ranked[domain][0].region != region,
            domain,
        ),
    )


def _find_region_roots(
    ranked: dict[str, list[GatewayInstance]],
) -> dict[str, GatewayInstance]:
    """Return the first gateway of each region's first domain."""
    roots: dict[str, GatewayInstance] = {}
    for domain in sorted(ranked):
        roots.setdefault(ranked[domain][0].region, ranked[domain][0])
    return roots
