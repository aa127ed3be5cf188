"""Tests of documents, the messages that carry them and the topology."""

from __future__ import annotations

from collections import Counter
from unittest import TestCase

from azurewick.control.documents import DocumentName
from azurewick.control.models import CutNotice
from azurewick.control.models import DigestPart
from azurewick.control.replica import Replica
from azurewick.control.topology import FAN_OUT
from azurewick.control.topology import place_agent
from azurewick.control.topology import place_gateway
from azurewick.models import GatewayInstance

MOVES = DocumentName.MOVES
DOMAINS = {
    "lima-a": "lima",
    "lima-b": "lima",
    "arequipa-a": "arequipa",
    "arequipa-b": "arequipa",
    "lima-c": "lima",
}


def exchange(caller, callee, *, digest=False, now_s=0.0):
    """Make one Sync call and return its reply."""
    request, sent_position = caller.build_request(
        callee.name, hold_s=0, with_digest=digest, now_s=now_s
    )
    callee.accept_request(request, now_s)
    reply = callee.build_reply(request, now_s)
    caller.accept_reply(callee.name, reply, sent_position, now_s)
    return reply


def build_replica(name, *revisions, incarnation="i"):
    replica = Replica(name, "gateway", incarnation)
    for revision in revisions:
        items = {f"move-{n}": {"text": "x" * n} for n in range(revision)}
        replica.accept(MOVES, items, revision)
    return replica


class ReplicaTest(TestCase):
    """Guards against documents that differ at the same revision.

    This happens when a delta is applied to a base that it was not made for,
    or when an older revision replaces a newer one.
    """

    def test_documents_after_exchanges(self):
        for name, caller, callee, uses_delta in (
            ("start", build_replica("a"), build_replica("b", 5), False),
            (
                "known base",
                build_replica("a", 4),
                build_replica("b", 3, 4, 5),
                True,
            ),
            (
                "base between",
                build_replica("a", 2, 4),
                build_replica("b", 3, 5),
                True,
            ),
            (
                "base too old",
                build_replica("a", 2),
                build_replica("b", 3, 5),
                False,
            ),
        ):
            with self.subTest(name):
                reply = exchange(caller, callee)
                self.assertEqual(uses_delta, not reply.moves)
                self.assertEqual(
                    callee.documents[MOVES].items,
                    caller.documents[MOVES].items,
                )
                self.assertEqual(5, caller.documents[MOVES].revision)

    def test_revision_never_goes_back(self):
        newer, older = build_replica("a", 5), build_replica("b", 3)
        exchange(newer, older)
        self.assertEqual(5, newer.documents[MOVES].revision)
        self.assertFalse(newer.accept(MOVES, {}, 4))
        self.assertFalse(newer.documents[MOVES].replace({}, 5))

    def test_delta_for_other_content_is_replaced_by_full_document(self):
        caller, callee = build_replica("a", 4), build_replica("b", 4, 5)
        caller.documents[MOVES].items = {"move-0": "other content"}
        exchange(caller, callee)
        self.assertEqual(4, caller.documents[MOVES].revision)
        exchange(caller, callee)
        self.assertEqual(
            callee.documents[MOVES].items, caller.documents[MOVES].items
        )

    def test_rejected_document_is_not_stored(self):
        caller = Replica("a", "gateway", "i", lambda *_: False)
        exchange(caller, build_replica("b", 5))
        self.assertEqual(0, caller.documents[MOVES].revision)

    def test_digest_is_exchanged_again_after_a_peer_restart(self):
        """After a peer restart both sides send all their entries again.

        The restarted peer lost the entries it had, and its positions start
        from 0.
        """
        cuts = [
            CutNotice(request_class="c", version=version, move_id="m")
            for version in "vw"
        ]
        caller, callee = build_replica("a"), build_replica("b")
        caller.digest.merge(DigestPart(cuts=(cuts[0],)), "a", 0.0)
        exchange(caller, callee, digest=True)
        restarted = build_replica("b", incarnation="j")
        restarted.digest.merge(DigestPart(cuts=(cuts[1],)), "b", 0.0)
        for _ in range(2):
            exchange(caller, restarted, digest=True)
        for replica in (caller, restarted):
            entries = replica.digest.all_entries(0.0)
            self.assertEqual(set(cuts), set(entries.cuts))


class TopologyTest(TestCase):
    """Guards against a gateway that serves too many others, and cycles.

    Gateways that call each other in a cycle would not learn of changes from
    the others.
    """

    def setUp(self):
        domains = list(DOMAINS)
        self.gateways = [
            GatewayInstance(
                name=f"gateway-{number}",
                control_address="",
                failure_domain=domains[number % 5],
                region=DOMAINS[domains[number % 5]],
            )
            for number in range(330)
        ]

    def _place(self, gateway, gateways):
        return place_gateway(
            gateway.name, gateway.region, gateway.failure_domain, gateways
        )

    def test_tree_of_all_gateways(self):
        places = {g.name: self._place(g, self.gateways) for g in self.gateways}
        relays = [name for name, place in places.items() if place.is_relay]
        self.assertEqual(2 * len(DOMAINS), len(relays))
        parents = {
            name: place.candidates[0].name
            for name, place in places.items()
            if place.exchanges_digest
        }
        self.assertEqual(329, len(parents))
        served = Counter(parents.values())
        # The first gateway of a region also serves those of other domains.
        self.assertEqual(FAN_OUT + 2, max(served.values()))
        self.assertLessEqual(
            sum(count > FAN_OUT for count in served.values()), 2
        )
        for name in parents:
            seen = set()
            while name in parents:
                self.assertNotIn(name, seen)
                seen.add(name)
                name = parents[name]

    def test_loss_of_one_gateway_changes_few_relays(self):
        lost = self.gateways[17]
        rest = [one for one in self.gateways if one is not lost]
        moved = sum(
            self._place(one, rest).is_relay
            != self._place(one, self.gateways).is_relay
            for one in rest
        )
        self.assertLessEqual(moved, 1)

    def test_agents_are_spread_and_stay_in_their_domain(self):
        calls = Counter()
        for number in range(600):
            place = place_agent(
                f"agent-{number}", "arequipa", "arequipa-a", self.gateways
            )
            self.assertEqual("arequipa-a", place.candidates[0].failure_domain)
            calls[place.candidates[0].name] += 1
        self.assertEqual(66, len(calls))
        self.assertLess(max(calls.values()), 30)
