"""Asker's side of the slot grants: asks, acknowledgements and fallback."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from logging import getLogger
from math import inf

from azurewick.entry.backends import Backend
from azurewick.entry.broker_election import Group
from azurewick.entry.broker_messages import Ask
from azurewick.entry.broker_messages import AskerMessage
from azurewick.entry.broker_messages import BrokerMessage
from azurewick.entry.broker_messages import Grant
from azurewick.entry.broker_messages import MAX_EXCLUDED
from azurewick.entry.broker_messages import Queued
from azurewick.entry.broker_messages import Refusal
from azurewick.entry.broker_messages import Release
from azurewick.entry.broker_messages import RequestKey
from azurewick.entry.broker_messages import Withdrawal
from azurewick.entry.pending_asks import AskedEngines
from azurewick.entry.pending_asks import Brokers
from azurewick.entry.pending_asks import GrantResult
from azurewick.entry.pending_asks import HeldGrants
from azurewick.entry.pending_asks import PendingAsk
from azurewick.entry.pending_asks import PlannedChecks
from azurewick.entry.request_queue import Demand

_LOGGER = getLogger(__name__)

# Time in which a broker has to acknowledge an ask, in the own region and in
# another. The ask is sent ASK_SENDS times within it, as a datagram is lost now
# and then.
ACK_TIMEOUT_S = 0.06
REMOTE_ACK_TIMEOUT_S = 0.1
ASK_SENDS = 3
# If the next broker doesn't acknowledge either, the group's requests use the
# own shares for this long.
FALLBACK_S = 1.0
# A waiting ask is sent again after this time, so that a lost grant or a new
# broker costs no more than that.
REPEAT_INTERVAL_S = 0.25
# A timer that is later than this shows that the own event loop was held up,
# and the acknowledgement may still be unread. It then gets LATE_GRACE_S more.
MAX_TIMER_DELAY_S = 0.01
LATE_GRACE_S = 0.02
# Another region's group is asked if the request may still wait this long.
MIN_REMOTE_BUDGET_S = 0.1
# Grants that the asker can't use, after which it uses its own shares.
MAX_UNUSABLE_GRANTS = 3


class BrokerClient:
    """Asks brokers for slots.

    send gets the target's name and the message; a message to the own instance
    may be answered before it returns. set_timer calls on_timer() after a time.
    """

    def __init__(
        self,
        *,
        own_name: str,
        incarnation: int,
        brokers: Brokers,
        engines: AskedEngines,
        send: Callable[[str, AskerMessage], None],
        set_timer: Callable[[float], None],
        count: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self._own_name = own_name
        self._incarnation = incarnation
        self._brokers = brokers
        self._engines = engines
        self._send = send
        self._count = count
        self._number = 0
        self._pending: dict[int, PendingAsk] = {}
        self._held = HeldGrants()
        self._fallback_until_s: dict[Group, float] = {}
        # Times of the last answers, by broker.
        self._answered_s: dict[str, float] = {}
        self._checks = PlannedChecks(set_timer)

    def is_in_fallback(self, group: Group, now_s: float) -> bool:
        """Return whether the own shares are used instead of a broker."""
        return now_s < self._fallback_until_s.get(group, -inf)

    def ask(
        self,
        demand: Demand,
        groups: Sequence[Group],
        budget_s: float,
        on_result: Callable[[GrantResult], None],
        now_s: float,
        *,
        may_wait: bool = True,
        on_queued: Callable[[float], None] = lambda now_s: None,
    ) -> PendingAsk:
        """Ask the groups in turn; on_result is called once.

        It may be called before this returns. It isn't called any more after
        withdraw(). Without may_wait only a slot that is free at once is
        granted. on_queued is called with the time at each answer that the
        request waits.
        """
        pending = PendingAsk(
            key=self._next_key(),
            demand=demand,
            groups=list(groups),
            ask_by_s=now_s + budget_s,
            on_result=on_result,
            may_wait=may_wait,
            on_queued=on_queued,
        )
        self._pending[pending.key.number] = pending
        self._ask_next_group(pending, now_s)
        return pending

    def withdraw(self, pending: PendingAsk) -> None:
        """Stop to wait."""
        if self._pending.pop(pending.key.number, None) is not None:
            self._count_end(pending, "withdrawn")
            self._withdraw_at_broker(pending)

    def release(self, backend: Backend, now_s: float) -> None:
        """Return a granted slot of a server, if there is one."""
        held = self._held.pop(backend.name)
        if held is None:
            return
        number, broker = held
        self._send(
            broker,
            Release(
                key=self._key(number),
                server=backend.name,
                unavailable_s=backend.unavailable_s(now_s),
            ),
        )

    def handle(
        self, message: BrokerMessage, sender: str, now_s: float
    ) -> None:
        """Handle a broker's answer."""
        key = message.key
        if key.incarnation != self._incarnation:
            return
        self._answered_s[sender] = now_s
        self._brokers.trust(sender)
        pending = self._pending.get(key.number)
        if isinstance(message, Grant):
            self._handle_grant(message, pending, sender, now_s)
            return
        if pending is None or pending.broker != sender:
            return
        if isinstance(message, Queued):
            pending.is_acknowledged = True
            pending.has_failed_over = False
            pending.wait_s = message.wait_s
            pending.on_queued(now_s)
        elif isinstance(message, Refusal):
            self._handle_refusal(message, pending, now_s)

    def record_left(self, name: str, now_s: float) -> None:
        """Ask the next broker for what waits at one that has left."""
        for pending in list(self._pending.values()):
            if pending.broker == name and pending.group is not None:
                self._ask_group(pending, pending.group, now_s)

    def on_timer(self, now_s: float) -> None:
        """Check the asks that are due; one timer serves all of them."""
        for due_s, number in self._checks.pop_due(now_s):
            pending = self._pending.get(number)
            if pending is not None and pending.due_s == due_s:
                self._check(pending, now_s)
        self._checks.arm(now_s)

    def _check(self, pending: PendingAsk, now_s: float) -> None:
        if pending.is_acknowledged:
            assert pending.group is not None
            repeat_at_s = pending.asked_s + REPEAT_INTERVAL_S
            if now_s < repeat_at_s:
                self._schedule(pending, repeat_at_s, now_s)
            else:
                self._ask_group(pending, pending.group, now_s)
        elif now_s < pending.ack_by_s:
            self._send_ask(pending, now_s)
            pause_s = (pending.ack_by_s - pending.asked_s) / ASK_SENDS
            self._schedule(
                pending, min(now_s + pause_s, pending.ack_by_s), now_s
            )
        elif now_s - pending.due_s > MAX_TIMER_DELAY_S:
            pending.ack_by_s = now_s + LATE_GRACE_S
            self._schedule(pending, pending.ack_by_s, now_s)
        else:
            self._handle_unanswered(pending, now_s)

    def _handle_unanswered(self, pending: PendingAsk, now_s: float) -> None:
        """Ask again, ask the next broker, or use the own shares."""
        group = pending.group
        assert group is not None
        if self._answered_s.get(pending.broker, -inf) > pending.asked_s:
            # It answers others: the datagrams of this request got lost.
            self._ask_group(pending, group, now_s)
            return
        if self._brokers.broker(group, now_s) == pending.broker:
            _LOGGER.warning(
                "slot broker does not answer",
                extra={"group": str(group), "broker": pending.broker},
            )
            self._brokers.suspect(pending.broker, now_s)
        if pending.has_failed_over:
            self._fall_back(pending, now_s)
            return
        pending.has_failed_over = True
        self._ask_group(pending, group, now_s)

    def _fall_back(self, pending: PendingAsk, now_s: float) -> None:
        group = pending.group
        assert group is not None
        if not self.is_in_fallback(group, now_s):
            _LOGGER.warning(
                "no slot broker answers, own shares are used",
                extra={"group": str(group), "broker": pending.broker},
            )
        self._fallback_until_s[group] = now_s + FALLBACK_S
        self._withdraw_at_broker(pending)
        if pending.refused_wait_s is None:
            self._finish(pending, GrantResult(), "fallback")
        else:
            self._ask_next_group(pending, now_s)

    def _ask_next_group(self, pending: PendingAsk, now_s: float) -> None:
        """Ask the next group, or end the ask if there is none."""
        while pending.groups:
            group = pending.groups.pop(0)
            is_own_region = self._engines.is_own_region(group)
            if (
                self.is_in_fallback(group, now_s)
                or self._brokers.broker(group, now_s) is None
            ):
                if is_own_region:
                    # The own shares come before another region's engines.
                    break
                continue
            if (
                pending.refused_wait_s is not None
                and pending.ask_by_s - now_s < MIN_REMOTE_BUDGET_S
            ):
                continue
            self._ask_group(pending, group, now_s)
            return
        if pending.refused_wait_s is None:
            self._finish(pending, GrantResult(), "fallback")
        else:
            result = GrantResult(refused_wait_s=pending.refused_wait_s)
            self._finish(pending, result, "refused")

    def _ask_group(
        self, pending: PendingAsk, group: Group, now_s: float
    ) -> None:
        """Send an ask to the broker of a group, also to a new one."""
        broker = self._brokers.broker(group, now_s)
        if broker is None:
            self._fall_back(pending, now_s)
            return
        if (group, broker) != (pending.group, pending.broker):
            self._withdraw_at_broker(pending)
            self._renumber(pending)
        pending.group = group
        pending.broker = broker
        pending.is_acknowledged = False
        if broker == self._own_name:
            self._ask_own_broker(pending, now_s)
            return
        timeout_s = (
            ACK_TIMEOUT_S
            if self._engines.is_own_region(group)
            else REMOTE_ACK_TIMEOUT_S
        )
        pending.asked_s = now_s
        pending.ack_by_s = now_s + timeout_s
        self._schedule(pending, now_s + timeout_s / ASK_SENDS, now_s)
        self._send_ask(pending, now_s)

    def _ask_own_broker(self, pending: PendingAsk, now_s: float) -> None:
        """Ask the broker in this process, which answers before it returns."""
        key = pending.key
        pending.asked_s = now_s
        self._schedule(pending, now_s + REPEAT_INTERVAL_S, now_s)
        self._send_ask(pending, now_s)
        is_unanswered = (
            self._pending.get(key.number) is pending
            and not pending.is_acknowledged
        )
        if is_unanswered:
            self._fall_back(pending, now_s)

    def _send_ask(self, pending: PendingAsk, now_s: float) -> None:
        assert pending.group is not None
        serving = self._engines.serving(pending.group.service, pending.demand)
        self._send(
            pending.broker,
            Ask(
                key=pending.key,
                group=pending.group,
                demand=pending.demand,
                excluded=pending.excluded_servers(
                    serving, self._engines.withheld(now_s), now_s
                ),
                may_wait=pending.may_wait,
            ),
        )

    def _handle_grant(
        self,
        grant: Grant,
        pending: PendingAsk | None,
        sender: str,
        now_s: float,
    ) -> None:
        number = grant.key.number
        if pending is None:
            if self._held.broker(number) != sender:
                # It came too late, after a withdrawal.
                self._send(sender, Release(key=grant.key, server=grant.server))
            return
        assert pending.group is not None
        serving = self._engines.serving(pending.group.service, pending.demand)
        backend = pending.find_usable(
            grant.server, serving, self._engines.withheld(now_s), now_s
        )
        if backend is None:
            self._handle_unusable(pending, grant, sender, now_s)
            return
        backend.in_flight += 1
        self._held.add(number, backend.name, sender)
        self._finish(pending, GrantResult(backend=backend), "granted")

    def _handle_unusable(
        self, pending: PendingAsk, grant: Grant, sender: str, now_s: float
    ) -> None:
        """Return the slot and ask again, with the server excluded."""
        assert pending.group is not None
        self._count_end(pending, "unusable")
        pending.excluded.insert(0, grant.server)
        pending.broker = ""
        self._renumber(pending)
        self._send(sender, Release(key=grant.key, server=grant.server))
        if len(pending.excluded) > min(MAX_UNUSABLE_GRANTS, MAX_EXCLUDED):
            self._finish(pending, GrantResult(), "fallback")
            return
        self._ask_group(pending, pending.group, now_s)

    def _renumber(self, pending: PendingAsk) -> None:
        """Give a request a new number before another broker or ask.

        Brokers remember what they have decided about a number, and a late
        grant for the old one is told from the new one's.
        """
        del self._pending[pending.key.number]
        pending.key = self._next_key()
        self._pending[pending.key.number] = pending

    def _handle_refusal(
        self, refusal: Refusal, pending: PendingAsk, now_s: float
    ) -> None:
        pending.refused_wait_s = min(
            refusal.wait_s,
            inf if pending.refused_wait_s is None else pending.refused_wait_s,
        )
        pending.broker = ""
        self._ask_next_group(pending, now_s)

    def _finish(
        self, pending: PendingAsk, result: GrantResult, outcome: str
    ) -> None:
        self._pending.pop(pending.key.number, None)
        self._count_end(pending, outcome)
        pending.on_result(result)

    def _count_end(self, pending: PendingAsk, outcome: str) -> None:
        self._count(outcome if pending.may_wait else f"spillover_{outcome}")

    def _withdraw_at_broker(self, pending: PendingAsk) -> None:
        if pending.broker:
            self._send(pending.broker, Withdrawal(key=pending.key))

    def _schedule(
        self, pending: PendingAsk, due_s: float, now_s: float
    ) -> None:
        pending.due_s = due_s
        self._checks.add(due_s, pending.key.number)
        self._checks.arm(now_s)

    def _next_key(self) -> RequestKey:
        self._number += 1
        return self._key(self._number)

    def _key(self, number: int) -> RequestKey:
        return RequestKey(self._own_name, self._incarnation, number)
