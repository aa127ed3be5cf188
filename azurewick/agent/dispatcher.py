"""Dispatcher: decides when a request is sent to the backend server."""

from __future__ import annotations

from asyncio import Event
from asyncio import Future
from asyncio import get_running_loop
from asyncio import TimerHandle
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from azurewick.admission.dispatch_window import DispatchWindow
from azurewick.admission.dispatch_window import remaining_prefill_s
from azurewick.admission.models import QueuedRequest
from azurewick.agent.interfaces import ConcurrencyLimit
from azurewick.agent.interfaces import Floor
from azurewick.agent.interfaces import RequestQueue
from azurewick.agent.ledger import DispatchLedger
from azurewick.agent.ledger import LedgerState
from azurewick.agent.rates import ServerRates
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.models import Offer

DISPLACED_RETRY_AFTER_S = 1.0


@dataclass(kw_only=True, slots=True)
class Slot:
    """Permission to run one request at the backend server.

    ran is set when the response headers have arrived, sent when the request
    headers are written or the slot is released. cancel stops the run.
    """

    offer: Offer
    ran: bool = False
    sent: Event = field(default_factory=Event)
    cancel: Callable[[], object] | None = None


@dataclass(kw_only=True, slots=True)
class _Waiter:
    """Queued offer; granted receives its slot or the refusal."""

    offer: Offer
    item: QueuedRequest
    granted: Future[Slot]
    timer: TimerHandle | None = None


@dataclass(kw_only=True, slots=True)
class _Prefill:
    """Running request that has no first token yet.

    The timer ends the prefill after expected_s.
    """

    started_s: float
    expected_s: float
    timer: TimerHandle


@dataclass(kw_only=True, slots=True)
class DispatcherState:
    """State of the agent; it takes new work if healthy and not draining."""

    draining: bool = False
    healthy: bool = False


@dataclass(kw_only=True)
class Dispatcher:
    """Admits, queues, dispatches and cancels requests of one backend server.

    Requests wait in the queue, in tier order, for a place under the
    concurrency limit. clock returns monotonic seconds.
    """

    name: str
    incarnation: str
    queue: RequestQueue
    floor: Floor
    limit: ConcurrencyLimit
    ledger: DispatchLedger
    rates: ServerRates
    clock: Callable[[], float]
    window: DispatchWindow = field(default_factory=DispatchWindow)
    is_model: bool = True
    state: DispatcherState = field(default_factory=DispatcherState)
    _waiters: dict[str, _Waiter] = field(default_factory=dict)
    _running: dict[str, Slot] = field(default_factory=dict)
    _prefilling: dict[str, _Prefill] = field(default_factory=dict)

    @property
    def running(self) -> int:
        """Return the number of requests at the backend server."""
        return len(self._running)

    @property
    def decoding(self) -> int:
        """Return the number of running requests that have a first token."""
        return len(self._running) - len(self._prefilling)

    @property
    def inter_token_target_s(self) -> float | None:
        """Return the smallest inter-token target of the running requests."""
        targets = [
            slot.offer.inter_token_s
            for slot in self._running.values()
            if slot.offer.inter_token_s is not None
        ]
        return min(targets, default=None)

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiters)

    @property
    def queued_work_s(self) -> float:
        """Return the expected time for the queue and the running prefills."""
        queued_s = sum(w.item.cost_s for w in self._waiters.values())
        return queued_s + self._remaining_prefill_s(self.clock())

    @property
    def is_ready(self) -> bool:
        """Return whether the agent takes new work."""
        return self.state.healthy and not self.state.draining

    def check(self, offer: Offer) -> None:
        """Raise AzurewickError for an offer that can't be queued.

        The outcome of the error is not_run.
        """
        now_s = self.clock()
        if offer.incarnation not in ("", self.incarnation):
            raise self._build_error(
                ErrorCode.WRONG_INCARNATION,
                "the offer is for another incarnation; the agent's is"
                f" {self.incarnation}",
            )
        if self.state.draining:
            raise self._build_error(
                ErrorCode.DRAINING, "the agent is draining"
            )
        if not self.state.healthy:
            raise self._build_error(
                ErrorCode.NOT_READY, "the backend server is not healthy"
            )
        if offer.tier > self.floor.current(now_s):
            raise self._build_displaced_error()
        if offer.budget_s is not None and offer.budget_s <= 0:
            raise self._build_expired_error()

    async def async_acquire(self, offer: Offer) -> Slot:
        """Queue an offer and return its slot when it may be dispatched.

        Raises AzurewickError with the reason of a refusal. When the wait is
        cancelled, the request is removed from the queue, or its granted
        slot released; it was not sent.
        """
        self.check(offer)
        now_s = self.clock()
        self.ledger.admit(offer.request_id, now_s)
        waiter = self._enqueue(offer, now_s)
        self.dispatch_queued()
        try:
            return await waiter.granted
        except BaseException:
            self._discard_waiter(waiter)
            raise

    def release(self, slot: Slot) -> None:
        """Release a slot after the run and dispatch the next request."""
        request_id = slot.offer.request_id
        slot.sent.set()
        self._end_prefill(request_id)
        if self._running.pop(request_id, None) is None:
            return
        self.ledger.finish(request_id, ran=slot.ran, now_s=self.clock())
        self.dispatch_queued()

    def record_first_token(self, slot: Slot) -> None:
        """End the prefill of a slot and dispatch the next request."""
        self._end_prefill(slot.offer.request_id)
        self.dispatch_queued()

    def release_unsent(self, slot: Slot) -> None:
        """Release a slot of whose request no byte was written.

        Its id may be offered again.
        """
        self.ledger.undo_dispatch(slot.offer.request_id)
        self.release(slot)

    def cancel(self, request_id: str, incarnation: str) -> Outcome:
        """Cancel a request and return what is known about its run.

        For an unknown id the outcome is not_run only if the request was
        offered to this incarnation of the agent; an earlier incarnation may
        have run it.
        """
        before = self.ledger.cancel(request_id, self.clock())
        if before is LedgerState.QUEUED:
            self._refuse(
                request_id,
                self._build_error(
                    ErrorCode.CANCELLED, "the request was cancelled"
                ),
            )
            return Outcome.NOT_RUN
        slot = self._running.get(request_id)
        if slot is not None and slot.cancel is not None:
            slot.cancel()
        if before is None and incarnation != self.incarnation:
            return Outcome.UNKNOWN
        return self.ledger.outcome(request_id) or Outcome.UNKNOWN

    async def async_set_floor(self, floor_tier: int, duration_s: float) -> int:
        """Set the admission floor and refuse queued work below it.

        A request below the floor may already hold a slot without having
        been sent. The method returns the floor only after all of these are
        sent, so that none is dispatched after the acknowledgement.
        """
        now_s = self.clock()
        self.floor.set_floor(floor_tier, duration_s, now_s)
        self.floor.record_contact(now_s)
        self._refuse_displaced(self.queue.displace_below(floor_tier))
        self.dispatch_queued()
        for slot in list(self._running.values()):
            if slot.offer.tier > floor_tier:
                await slot.sent.wait()
        return self.floor.current(self.clock())

    def record_contact(self) -> None:
        """Record a contact with a gateway, which renews the permit.

        Without the permit the floor admits only the highest tier.
        """
        self.floor.record_contact(self.clock())
        self.dispatch_queued()

    def set_draining(self, draining: bool) -> None:
        """Start or end the drain; its start refuses all queued requests."""
        self.state.draining = draining
        if draining:
            self._refuse_all(ErrorCode.DRAINING, "the agent is draining")

    def set_healthy(self, healthy: bool) -> None:
        """Set the backend server's health; if unhealthy, refuse the queue."""
        self.state.healthy = healthy
        if not healthy:
            self._refuse_all(
                ErrorCode.NOT_READY, "the backend server is not healthy"
            )

    def dispatch_queued(self) -> None:
        """Dispatch queued requests while the dispatch window is open."""
        now_s = self.clock()
        while self._waiters and self.window.is_open(
            self.running, len(self._prefilling), self.limit.limit
        ):
            floor_tier = self.window.lowest_dispatchable_tier(
                self.running, self.limit.limit, self.floor.current(now_s)
            )
            taken = self.queue.take(floor_tier, now_s)
            for item in taken.expired:
                self._refuse(item.request_id, self._build_expired_error())
            if taken.item is None:
                return
            self._grant_slot(taken.item.request_id)

    def _enqueue(self, offer: Offer, now_s: float) -> _Waiter:
        deadline_s = None
        if offer.budget_s is not None:
            deadline_s = now_s + offer.budget_s
        limit = max(1, self.limit.limit)
        time_to_target_s = self.rates.expected_duration_s(
            offer, limit, is_model=self.is_model
        )
        if self.is_model and not offer.is_completion_budget:
            time_to_target_s = self.rates.expected_prefill_s(offer)
        item = QueuedRequest(
            request_id=offer.request_id,
            customer=offer.customer,
            request_class=offer.request_class,
            tier=offer.tier,
            deadline_s=deadline_s,
            time_to_target_s=time_to_target_s,
            cost_s=self.rates.expected_cost_s(
                offer, limit, is_model=self.is_model
            ),
        )
        decision = self.queue.offer(
            item, now_s, self._remaining_prefill_s(now_s)
        )
        if not decision.accepted:
            self.ledger.refuse(offer.request_id)
            raise self._build_error(
                decision.reason or ErrorCode.OVERLOADED,
                f"the agent's queue refused a request of tier {offer.tier}",
                decision.retry_after_s,
            )
        self._refuse_displaced(decision.displaced)
        loop = get_running_loop()
        waiter = _Waiter(offer=offer, item=item, granted=loop.create_future())
        if offer.budget_s is not None:
            waiter.timer = loop.call_later(
                offer.budget_s, self._expire, offer.request_id
            )
        self._waiters[offer.request_id] = waiter
        return waiter

    def _grant_slot(self, request_id: str) -> None:
        waiter = self._remove_waiter(request_id)
        if waiter is None or waiter.granted.done():
            return
        self.ledger.dispatch(request_id)
        slot = Slot(offer=waiter.offer)
        self._running[request_id] = slot
        if self.is_model:
            self._start_prefill(slot)
        waiter.granted.set_result(slot)

    def _start_prefill(self, slot: Slot) -> None:
        # The first token of a response that isn't streamed can't be seen,
        # so its prefill ends after the expected time.
        expected_s = self.rates.expected_prefill_s(slot.offer)
        self._prefilling[slot.offer.request_id] = _Prefill(
            started_s=self.clock(),
            expected_s=expected_s,
            timer=get_running_loop().call_later(
                expected_s, self.record_first_token, slot
            ),
        )

    def _end_prefill(self, request_id: str) -> None:
        prefill = self._prefilling.pop(request_id, None)
        if prefill is not None:
            prefill.timer.cancel()

    def _remaining_prefill_s(self, now_s: float) -> float:
        """Return the expected time until all running prefills have ended."""
        return sum(
            remaining_prefill_s(prefill.expected_s, now_s - prefill.started_s)
            for prefill in self._prefilling.values()
        )

    def _discard_waiter(self, waiter: _Waiter) -> None:
        request_id = waiter.offer.request_id
        if self._waiters.get(request_id) is waiter:
            self._remove_waiter(request_id)
            self.queue.remove(request_id)
        if waiter.granted.cancelled():
            self.ledger.cancel(request_id, self.clock())
        elif waiter.granted.exception() is None:
            # The slot was granted before the cancellation reached the task.
            self.release_unsent(waiter.granted.result())

    def _expire(self, request_id: str) -> None:
        self._refuse(request_id, self._build_expired_error())

    def _refuse_displaced(self, items: Iterable[QueuedRequest]) -> None:
        for item in items:
            self._refuse(item.request_id, self._build_displaced_error())

    def _refuse_all(self, code: ErrorCode, message: str) -> None:
        for request_id in list(self._waiters):
            self._refuse(request_id, self._build_error(code, message))

    def _refuse(self, request_id: str, error: AzurewickError) -> None:
        waiter = self._remove_waiter(request_id)
        self.queue.remove(request_id)
        if waiter is None or waiter.granted.done():
            return
        self.ledger.refuse(request_id)
        waiter.granted.set_exception(error)

    def _remove_waiter(self, request_id: str) -> _Waiter | None:
        waiter = self._waiters.pop(request_id, None)
        if waiter is not None and waiter.timer is not None:
            waiter.timer.cancel()
        return waiter

    def _build_displaced_error(self) -> AzurewickError:
        return self._build_error(
            ErrorCode.DISPLACED,
            "the pool is reserved for requests of higher tiers",
            retry_after_s=DISPLACED_RETRY_AFTER_S,
        )

    def _build_expired_error(self) -> AzurewickError:
        return self._build_error(
            ErrorCode.TARGET_UNREACHABLE,
            "the target of the request class can no longer be met",
        )

    def _build_error(
        self,
        code: ErrorCode,
        message: str,
        retry_after_s: float | None = None,
    ) -> AzurewickError:
        return AzurewickError(
            code,
            message,
            step=Step.QUEUE,
            peer=self.name,
            retry_after_s=retry_after_s,
        )
