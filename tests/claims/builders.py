"""Gateways and forwarders with injected faults for the tests of claims."""

from __future__ import annotations

from asyncio import CancelledError
from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from enum import StrEnum

from azurewick.claims.coordinator import ClaimCoordinator
from azurewick.claims.models import Answer
from azurewick.claims.models import ClaimKind
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from bench.memory_store import MemoryStore
from bench.memory_store import StoreData

KEY = "0" * 32
EPOCH_S = 1_800_000_000.0
PAUSE_S = 30.0
OUTAGE_S = 10.0


class Fault(StrEnum):
    """Fault injected at one call to the store."""

    DOWN = "store refuses the connection"
    RESET = "connection reset after sending, no effect"
    LOST = "reply lost after the effect"
    DELAYED = "reply lost, effect later"
    KILLED_BEFORE = "process killed before sending"
    KILLED_AFTER = "process killed after the effect"
    PAUSED_BEFORE = "process paused before sending"
    PAUSED_AFTER = "process paused after the effect"
    OUTAGE = "store down for a time"


def store_error(outcome: Outcome) -> AzurewickError:
    return AzurewickError(
        ErrorCode.STORE_UNAVAILABLE,
        "injected fault",
        step=Step.STORE,
        outcome=outcome,
    )


class Gateway:
    """Gateway whose claims meet injected faults at calls to the store.

    faults maps the index of a call to its fault; delay returns the seconds
    of each way to the store and back.
    """

    def __init__(self, name, data, faults=None, delay=None, **options):
        self.name = name
        self.data = data
        self.faults = faults or {}
        self.calls = 0
        self.down_until_s = 0.0
        self.task = None
        self.runs = 0
        self.refusal = None
        self.result = None
        self._draw_delay = delay or (lambda: 0.004)
        self._delayed_tasks = set()
        self.claims = ClaimCoordinator(
            MemoryStore(data, self._async_call),
            name,
            options.pop("shards", 1),
            wall_clock=lambda: EPOCH_S + get_running_loop().time(),
            **options,
        )

    async def _async_call(self, kind, effect):
        loop = get_running_loop()
        fault = self.faults.get(self.calls)
        self.calls += 1
        await sleep(self._draw_delay())
        if fault is Fault.OUTAGE:
            self.down_until_s = loop.time() + OUTAGE_S
        if fault is Fault.DOWN or loop.time() < self.down_until_s:
            raise store_error(Outcome.NOT_RUN)
        if fault is Fault.RESET:
            raise store_error(Outcome.UNKNOWN)
        if fault is Fault.DELAYED:
            self._apply_later(effect)
            raise store_error(Outcome.UNKNOWN)
        if fault is Fault.KILLED_BEFORE:
            await self._async_stop_calls()
        if fault is Fault.PAUSED_BEFORE:
            await sleep(PAUSE_S)
        result = effect()
        if fault is Fault.KILLED_AFTER:
            await self._async_stop_calls()
        if fault is Fault.PAUSED_AFTER:
            await sleep(PAUSE_S)
        await sleep(self._draw_delay())
        if fault is Fault.LOST:
            raise store_error(Outcome.UNKNOWN)
        return result

    def _apply_later(self, effect):
        async def async_apply():
            await sleep(5 * self._draw_delay())
            try:
                effect()
            except AzurewickError:
                return

        task = create_task(async_apply())
        self._delayed_tasks.add(task)
        task.add_done_callback(self._delayed_tasks.discard)

    async def _async_stop_calls(self):
        """Block for good, since a killed process makes no further calls."""
        self.faults = dict.fromkeys(range(1000), Fault.KILLED_BEFORE)
        await sleep(1e6)

    def start(self, key=KEY, body=b"", release=False):
        self.task = create_task(self.async_request(key, body, release))

    async def async_request(self, key=KEY, body=b"", release=False, runs=None):
        """Claim, run and complete a request, and count its run in runs.

        With release, a granted claim is released instead of being run.
        """
        loop = get_running_loop()
        try:
            decision = await self.claims.async_claim(
                key, "f", EPOCH_S + loop.time()
            )
        except AzurewickError as err:
            self.refusal = err
            return
        except CancelledError:
            return
        if decision.kind is ClaimKind.IN_PROGRESS:
            decision = await self.claims.async_wait(key, 3.0)
        self.result = decision
        if decision.kind is not ClaimKind.GRANTED:
            return
        if release:
            await self.claims.async_release(key, EPOCH_S + loop.time())
            return
        self.runs += 1
        if runs is not None:
            runs[key] += 1
        await sleep(0.05)
        await self.claims.async_complete(
            key,
            Answer(status=200, content_type="text/plain", body=body),
            EPOCH_S + loop.time(),
        )


class LossyForwarder:
    """Forwarder that loses calls before or after their effect.

    It chooses a random writer, so that gateways disagree on it.
    """

    def __init__(self, gateways, random, loss_share):
        self.gateways = gateways
        self.random = random
        self.loss_share = loss_share

    def writer(self, shard):
        return self.random.choice((None, "0", "1"))

    async def async_apply(self, writer, shard, operations):
        claims = self.gateways[int(writer)].claims
        await sleep(self.random.choice((0.001, 0.2)))
        lost = self.random.random() < self.loss_share
        if lost and self.random.random() < 0.5:
            raise store_error(Outcome.UNKNOWN)
        applying = create_task(claims.async_apply(operations))
        if lost:
            # The writer goes on although the caller no longer waits for it.
            applying.add_done_callback(
                lambda task: task.cancelled() or task.exception()
            )
            raise store_error(Outcome.UNKNOWN)
        return await applying


def make_gateways(count, data=None, **options):
    data = data or StoreData()
    return [Gateway(f"gw-{i}/a", data, **options) for i in range(count)]
