"""Forwarding of claim operations between gateways, over the control port."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from xxhash import xxh64_intdigest

from azurewick.claims.coordinator import ClaimCoordinator
from azurewick.claims.models import Answer
from azurewick.claims.models import ClaimDecision
from azurewick.claims.models import ClaimKind
from azurewick.claims.models import Operation
from azurewick.claims.models import OperationKind
from azurewick.control.control_grpc import ClaimWriterBase
from azurewick.control.control_grpc import ClaimWriterStub
from azurewick.control.control_pb2 import ClaimAnswer
from azurewick.control.control_pb2 import ClaimBatch
from azurewick.control.control_pb2 import ClaimBatchReply
from azurewick.control.control_pb2 import ClaimOperation
from azurewick.control.control_pb2 import ClaimResult
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.models import GatewayInstance
from azurewick.models import InstanceState

# Half of the write time-out, so that the gateway can still write itself.
CALL_TIMEOUT_S: Final = 1.0
# After a failed call a gateway writes the shards of that writer itself for
# this long. A dead gateway leaves the list of live ones within a few seconds.
AVOID_FAILED_WRITER_S: Final = 5.0
MAX_OPERATIONS_PER_CALL: Final = 1024
MAX_TEXT_CHARS: Final = 256


class GrpcClaimForwarder:
    """Forwards operations to the writer of their shard over gRPC.

    The writer of a shard is chosen by rendezvous hashing over the live
    gateways. Gateways whose lists differ may choose two writers; that is
    safe, since the conditional update of the store decides. clock returns
    monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        list_gateways: Callable[[float], Sequence[GatewayInstance]],
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._list_gateways = list_gateways
        self._clock = clock
        self._avoided_until_s: dict[str, float] = {}
        self._channels: dict[str, Channel] = {}

    def writer(self, shard: int) -> str | None:
        """Return the control address of the writer of a shard.

        Returns None when this gateway has to write, also because the last
        call to the writer failed less than AVOID_FAILED_WRITER_S ago.
        """
        now_s = self._clock()
        best = (self._rendezvous_weight(self._name, shard), self._name, "")
        for gateway in self._list_gateways(now_s):
            if gateway.state is InstanceState.LIVE:
                weight = self._rendezvous_weight(gateway.name, shard)
                best = max(
                    best, (weight, gateway.name, gateway.control_address)
                )
        _, name, address = best
        if name == self._name or self._avoided_until_s.get(address, 0) > now_s:
            return None
        return address

    async def async_apply(
        self, writer: str, shard: int, operations: Sequence[Operation]
    ) -> Sequence[ClaimDecision]:
        """Have the writer apply operations.

        Raises AzurewickError with code peer_unreachable and outcome unknown.
        """
        batch = ClaimBatch(
            operations=[_encode_operation(item) for item in operations]
        )
        try:
            stub = ClaimWriterStub(self._open_channel(writer))
            reply = await stub.Apply(batch, timeout=CALL_TIMEOUT_S)
            return _decode_reply(reply, len(operations))
        except (
            GRPCError,
            StreamTerminatedError,
            OSError,
            TimeoutError,
            ValueError,
        ) as err:
            self._avoid(writer)
            raise AzurewickError(
                ErrorCode.PEER_UNREACHABLE,
                f"call to the writer of claim shard {shard} failed: {err!r}",
                step=Step.CLAIM,
                peer=writer,
                outcome=Outcome.UNKNOWN,
            ) from err

    def close(self) -> None:
        """Close the connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _avoid(self, writer: str) -> None:
        now_s = self._clock()
        self._avoided_until_s = {
            address: until_s
            for address, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[writer] = now_s + AVOID_FAILED_WRITER_S
        channel = self._channels.pop(writer, None)
        if channel is not None:
            channel.close()

    def _open_channel(self, address: str) -> Channel:
        if address not in self._channels:
            host, _, port = address.rpartition(":")
            self._channels[address] = Channel(host.strip("[]"), int(port))
        return self._channels[address]

    def _rendezvous_weight(self, name: str, shard: int) -> int:
        return xxh64_intdigest(f"{name}/{shard}".encode())


class ClaimWriterApi(ClaimWriterBase):
    """gRPC service that applies operations forwarded by other gateways."""

    def __init__(self, claims: ClaimCoordinator) -> None:
        self._claims = claims

    async def Apply(self, stream: Any) -> None:
        """Apply a batch and reply with its decisions, or with an error."""
        request = await stream.recv_message()
        try:
            if len(request.operations) > MAX_OPERATIONS_PER_CALL:
                raise ValueError(
                    f"{len(request.operations)} operations exceed the limit "
                    f"of {MAX_OPERATIONS_PER_CALL}"
                )
            operations = [_decode_operation(o) for o in request.operations]
            decisions = await self._claims.async_apply(operations)
        except AzurewickError as err:
            reply = ClaimBatchReply(code=err.code.value, message=err.message)
        except ValueError as err:
            reply = ClaimBatchReply(
                code=ErrorCode.INVALID_REQUEST.value, message=str(err)
            )
        else:
            reply = ClaimBatchReply(
                results=[_encode_decision(item) for item in decisions]
            )
        await stream.send_message(reply)


def _encode_answer(answer: Answer | None) -> ClaimAnswer | None:
    if answer is None:
        return None
    return ClaimAnswer(
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
    )


def _decode_answer(message: Any) -> Answer | None:
    if not message.HasField("answer"):
        return None
    return Answer(
        status=message.answer.status,
        content_type=message.answer.content_type,
        body=message.answer.body,
    )


def _encode_operation(operation: Operation) -> ClaimOperation:
    return ClaimOperation(
        kind=operation.kind.value,
        key=operation.key,
        token=operation.token,
        now_s=operation.now_s,
        fingerprint=operation.fingerprint,
        answer=_encode_answer(operation.answer),
    )


def _decode_operation(message: ClaimOperation) -> Operation:
    if len(message.key) != 32 or not set(message.key) <= set(
        "0123456789abcdef"
    ):
        raise ValueError("the key is not 32 lower-case hex digits")
    if max(len(message.token), len(message.fingerprint)) > MAX_TEXT_CHARS:
        raise ValueError(
            f"the token or fingerprint exceeds {MAX_TEXT_CHARS} characters"
        )
    return Operation(
        kind=OperationKind(message.kind),
        key=message.key,
        token=message.token,
        now_s=message.now_s,
        fingerprint=message.fingerprint,
        answer=_decode_answer(message),
    )


def _encode_decision(decision: ClaimDecision) -> ClaimResult:
    return ClaimResult(
        kind=decision.kind.value, answer=_encode_answer(decision.answer)
    )


def _decode_reply(
    reply: ClaimBatchReply, expected_count: int
) -> list[ClaimDecision]:
    if reply.code or len(reply.results) != expected_count:
        raise ValueError(
            reply.message
            or f"expected {expected_count} decisions, got {len(reply.results)}"
        )
    return [
        ClaimDecision(kind=ClaimKind(item.kind), answer=_decode_answer(item))
        for item in reply.results
    ]
