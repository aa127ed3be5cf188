"""Tests of the messages between askers and brokers."""

from __future__ import annotations

from dataclasses import replace
from math import inf
from random import Random
from unittest import TestCase

from azurewick.entry.broker_election import Group
from azurewick.entry.broker_messages import Ask
from azurewick.entry.broker_messages import decode_message
from azurewick.entry.broker_messages import encode_message
from azurewick.entry.broker_messages import Grant
from azurewick.entry.broker_messages import is_broker_message
from azurewick.entry.broker_messages import MAX_ASK_BYTES
from azurewick.entry.broker_messages import Queued
from azurewick.entry.broker_messages import Refusal
from azurewick.entry.broker_messages import Release
from azurewick.entry.broker_messages import RequestKey
from azurewick.entry.broker_messages import Withdrawal
from azurewick.entry.models import PromptPart
from azurewick.entry.peers import PeerReport
from azurewick.entry.report_codec import encode_report
from azurewick.entry.work import WorkEstimate
from azurewick.errors import AzurewickError
from tests.entry.builders import build_demand

KEY = RequestKey("e1", 2**47, 12)
ASK = Ask(
    key=KEY,
    group=Group("models", "home", 0),
    demand=build_demand(
        target_s=100.5,
        deadline_at_s=103.0,
        rank=(1, 2),
        work=WorkEstimate(first_token_s=0.1, total_s=1.0, engine_s=0.2),
        is_caller_retry=True,
        is_started=True,
        on_new_version=True,
        customer="north",
        shared_part=PromptPart(name="p1", tokens=700),
        home_regions=frozenset({"home"}),
    ),
    excluded=("s1", "s2"),
)


class BrokerMessagesTest(TestCase):
    """Guards against messages that arrive changed or stop the receiver."""

    def test_messages_arrive_unchanged(self):
        for message in (
            ASK,
            Queued(key=KEY, wait_s=0.25),
            Grant(key=KEY, server="s1"),
            Refusal(key=KEY, wait_s=inf),
            Release(key=KEY, server="s1", unavailable_s=1.5),
            Withdrawal(key=KEY),
        ):
            data = encode_message(message, "e1", 100.0)
            self.assertTrue(is_broker_message(data))
            self.assertEqual(
                ("e1", message), decode_message(data, "e1", 100.0)
            )

    def test_times_are_sent_as_what_is_left(self):
        # Else the clocks of two instances would have to agree.
        data = encode_message(ASK, "e1", 100.0)
        _, ask = decode_message(data, "e2", 7.0)
        self.assertAlmostEqual(7.5, ask.demand.target_s)
        self.assertAlmostEqual(10.0, ask.demand.deadline_at_s)

    def test_ask_has_the_home_regions_in_force(self):
        """The configuration may have changed since the request arrived."""
        demand = replace(
            ASK.demand, find_home_regions=lambda: frozenset({"away"})
        )
        data = encode_message(replace(ASK, demand=demand), "e1", 100.0)
        _, ask = decode_message(data, "e2", 100.0)
        self.assertEqual({"away"}, ask.demand.home_regions)

    def test_ask_with_many_excluded_servers_stays_small(self):
        names = tuple(f"server-of-the-service-{i:040}" for i in range(20))
        data = encode_message(replace(ASK, excluded=names), "e1", 0.0)
        self.assertLess(len(data), MAX_ASK_BYTES)
        _, ask = decode_message(data, "e2", 0.0)
        # The most important ones are kept.
        self.assertEqual(names[: len(ask.excluded)], ask.excluded)
        self.assertTrue(ask.excluded)

    def test_reports_are_no_messages(self):
        report = PeerReport(name="e1", incarnation=1, sequence=1)
        self.assertFalse(is_broker_message(encode_report(report)))

    def test_damaged_messages_are_rejected(self):
        random = Random(1)
        data = encode_message(ASK, "e1", 0.0)
        for _ in range(3000):
            damaged = bytearray(data)
            for _ in range(random.randrange(1, 4)):
                damaged[random.randrange(1, len(damaged))] = random.choice(
                    b'0129-.eE[]{}",nl\xff'
                )
            end = random.choice((None, random.randrange(len(data))))
            try:
                _, message = decode_message(bytes(damaged[:end]), "e2", 0.0)
            except AzurewickError:
                continue
            # What is accepted can be queued.
            if isinstance(message, Ask):
                self.assertGreater(message.demand.urgency(0.0), 0)
