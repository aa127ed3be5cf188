"""Use of free slots in other groups while a request waits in its own."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from functools import partial
from math import inf

from azurewick.entry.broker_client import BrokerClient
from azurewick.entry.broker_election import Group
from azurewick.entry.pending_asks import GrantResult
from azurewick.entry.pending_asks import PendingAsk
from azurewick.entry.request_queue import Demand

# A group without a free slot isn't asked for one again for this long. It
# bounds the messages to other regions under overload.
FULL_PAUSE_S = 0.2


class SpilloverAsk:
    """Ask of one request, which waits in its first group.

    While it is queued there, the other groups are asked for a slot that is
    free at once. on_result is called once, and not after withdraw().
    full_until_s is shared by all asks of an instance.
    """

    def __init__(
        self,
        client: BrokerClient,
        demand: Demand,
        groups: Sequence[Group],
        budget_s: float,
        on_result: Callable[[GrantResult], None],
        now_s: float,
        full_until_s: dict[Group, float],
    ) -> None:
        self._client = client
        self._demand = demand
        self._groups = groups
        self._ask_by_s = now_s + budget_s
        self._on_result = on_result
        self._full_until_s = full_until_s
        self._is_ended = False
        self._probe: PendingAsk | None = None
        self._is_probing = False
        self._main: PendingAsk | None = None
        self._main = client.ask(
            demand,
            groups,
            budget_s,
            self._end_main,
            now_s,
            on_queued=self._probe_next,
        )
        if self._is_ended:
            client.withdraw(self._main)

    @property
    def wait_s(self) -> float:
        """Return the predicted wait."""
        return 0.0 if self._main is None else self._main.wait_s

    def withdraw(self) -> None:
        """Stop to wait."""
        self._is_ended = True
        for pending in (self._main, self._probe):
            if pending is not None:
                self._client.withdraw(pending)

    def _probe_next(self, now_s: float) -> None:
        """Ask the next group that may have a free slot."""
        if self._is_ended or self._is_probing:
            return
        for group in self._groups[1:]:
            if now_s < self._full_until_s.get(group, -inf):
                continue
            self._is_probing = True
            probe = self._client.ask(
                self._demand,
                [group],
                self._ask_by_s - now_s,
                partial(self._end_probe, group, now_s),
                now_s,
                may_wait=False,
            )
            # A broker in this process has answered already.
            self._probe = probe if self._is_probing else None
            return

    def _end_probe(
        self, group: Group, asked_s: float, result: GrantResult
    ) -> None:
        self._probe = None
        self._is_probing = False
        if result.backend is None:
            self._full_until_s[group] = asked_s + FULL_PAUSE_S
        else:
            self._end(result)

    def _end_main(self, result: GrantResult) -> None:
        if not self._is_ended:
            self._end(result)

    def _end(self, result: GrantResult) -> None:
        self.withdraw()
        self._on_result(result)
