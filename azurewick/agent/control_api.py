"""gRPC control port of the agent: admission floor, probes and orders."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from azurewick.agent.dispatcher import Dispatcher
from azurewick.agent.orders import AgentOrder
from azurewick.agent.orders import FencingCheck
from azurewick.agent.orders import OrderAuthenticator
from azurewick.const import LOWEST_TIER
from azurewick.control.control_grpc import AgentControlBase
from azurewick.control.control_pb2 import AdmissionFloorReply
from azurewick.control.control_pb2 import OrderReply
from azurewick.control.control_pb2 import ProbeReply
from azurewick.control.conversion import load_to_message
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.helpers.clock import wall_clock_s
from azurewick.models import LoadReport

MAX_FLOOR_DURATION_S = 60.0


class ControlApi(AgentControlBase):
    """Handlers of the control port.

    async_execute_order executes an accepted order and raises AzurewickError
    when that fails.
    """

    def __init__(
        self,
        pool: str,
        dispatcher: Dispatcher,
        fencing_check: FencingCheck,
        authenticator: OrderAuthenticator,
        build_load_report: Callable[[], LoadReport],
        async_execute_order: Callable[[AgentOrder], Awaitable[None]],
    ) -> None:
        self._pool = pool
        self._dispatcher = dispatcher
        self._fencing_check = fencing_check
        self._authenticator = authenticator
        self._build_load_report = build_load_report
        self._async_execute_order = async_execute_order

    async def SetAdmissionFloor(self, stream: Any) -> None:
        """Set the admission floor, unless the request is for another pool."""
        request = await stream.recv_message()
        dispatcher = self._dispatcher
        if request.pool == self._pool:
            floor_tier = await dispatcher.async_set_floor(
                min(request.floor_tier, LOWEST_TIER),
                min(request.hold_ms / 1000, MAX_FLOOR_DURATION_S),
            )
        else:
            floor_tier = self._build_load_report().floor_tier
        await stream.send_message(
            AdmissionFloorReply(
                floor_tier=floor_tier, incarnation=dispatcher.incarnation
            )
        )

    async def Probe(self, stream: Any) -> None:
        """Return readiness and load; renew the permit for lower tiers."""
        await stream.recv_message()
        self._dispatcher.record_contact()
        await stream.send_message(
            ProbeReply(
                incarnation=self._dispatcher.incarnation,
                ready=self._dispatcher.is_ready,
                load=load_to_message(self._build_load_report()),
            )
        )

    async def Order(self, stream: Any) -> None:
        """Check and execute an order; the reply has the code of an error."""
        request = await stream.recv_message()
        order = AgentOrder(
            order_id=request.order_id,
            lease=request.lease,
            fencing_number=request.fencing_number,
            action=request.action,
            version=request.version,
            key_id=request.key_id,
            issued_at_s=request.issued_at_s,
            signature=request.signature,
        )
        try:
            await self._async_process_order(order)
        except AzurewickError as err:
            reply = OrderReply(
                accepted=False, code=err.code.value, message=err.message
            )
        else:
            reply = OrderReply(accepted=True)
        await stream.send_message(reply)

    async def _async_process_order(self, order: AgentOrder) -> None:
        self._authenticator.verify(order, wall_clock_s())
        if order.action not in ("drain", "resume", "load_version"):
            raise AzurewickError(
                ErrorCode.INVALID_REQUEST,
                f"unknown order {order.action!r}; orders are drain, resume and"
                " load_version",
                step=Step.ORDER,
            )
        await self._fencing_check.async_check(
            order.lease, order.fencing_number
        )
        await self._async_execute_order(order)
