"""Processing of one caller's request: attempts, retries and the answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from logging import getLogger

from aiohttp import ClientError
from aiohttp import ClientResponse

from azurewick.admission.retry_budget import RetryBudget
from azurewick.entry.answer_ending import AnswerEnding
from azurewick.entry.answer_ending import classify_ending
from azurewick.entry.answer_ending import NotResumedError
from azurewick.entry.backend_client import BackendClient
from azurewick.entry.backend_client import RETRY_AFTER_S
from azurewick.entry.backend_client import ServerWithdrawnError
from azurewick.entry.backend_client import shows_lost_server
from azurewick.entry.backends import Backend
from azurewick.entry.crash_guard import CrashGuard
from azurewick.entry.departures import Departure
from azurewick.entry.departures import DepartureSource
from azurewick.entry.dispatcher import SlotDispatcher
from azurewick.entry.home_regions import RequestHomes
from azurewick.entry.models import AnswerHead
from azurewick.entry.models import BackendCall
from azurewick.entry.models import CallerRequest
from azurewick.entry.models import Route
from azurewick.entry.prompt_affinity import find_shared_part
from azurewick.entry.protocols import WireProtocol
from azurewick.entry.relay import AnswerRelay
from azurewick.entry.relay import AnswerWriter
from azurewick.entry.relay import EXTRA_EVENTS
from azurewick.entry.request_age import RequestAgeEstimator
from azurewick.entry.request_body import RequestBody
from azurewick.entry.request_queue import Demand
from azurewick.entry.request_queue import Rank
from azurewick.entry.send_limits import NoSendLimits
from azurewick.entry.send_limits import SendLimits
from azurewick.entry.server_learning import ServerLearning
from azurewick.entry.stall_watchdog import StalledError
from azurewick.entry.stall_watchdog import StallWatchdog
from azurewick.entry.trace import AttemptTrace
from azurewick.entry.trace import ExchangeTrace
from azurewick.entry.version_moves import VersionMoves
from azurewick.entry.work import measure_work
from azurewick.entry.work import NOMINAL_PLAIN_S
from azurewick.entry.work import WorkEstimate
from azurewick.entry.work import WorkEstimator
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.helpers.bounded_head import FIRST_FINAL_STATUS
from azurewick.helpers.http_client import answer_framing
from azurewick.helpers.http_client import FRAMING_UNSUPPORTED

_LOGGER = getLogger(__name__)

# Maximum number of retries after rejections. The request hasn't run then, so
# they don't count towards the route's maximum of attempts, but they are taken
# from the retry budget.
MAX_REJECTIONS = 2
# Maximum number of retries after failed connections, which cost the servers
# nothing. Servers that have crashed stay listed for some seconds.
MAX_FAILED_CONNECTIONS = 5
# With less time left, a request isn't dispatched: a connection and a small
# answer take this long.
MIN_DISPATCH_S = 0.05
# Timeout of a plain answer as a multiple of the target, after which a
# repeatable request is retried at another server.
PLAIN_ANSWER_TIMEOUT_FACTOR = 1.2
# Timeouts of the first event and between two events of a stream that another
# server can resume.
FIRST_EVENT_TIMEOUT_S = 2.0
EVENT_TIMEOUT_S = 1.5
# An answer that goes on for this long after its first bytes doesn't crash its
# server.
SOUND_AFTER_S = 0.2
OUTCOME_UNFINISHED = "unfinished"
OUTCOME_NOT_SENT = "not_sent"
STATUS_UNAVAILABLE = 503


class BrokenAnswerError(Exception):
    """The answer failed after its head had been sent to the caller."""


class _AttemptFailedError(Exception):
    """An attempt failed; another server may still answer the request."""

    def __init__(self, error: AzurewickError) -> None:
        super().__init__(str(error))
        self.error = error


@dataclass(kw_only=True, slots=True)
class ExchangeParts:
    """Dependencies shared by all exchanges of a service."""

    service: str
    client: BackendClient
    protocol: WireProtocol
    dispatcher: SlotDispatcher
    retry_budget: RetryBudget
    work_estimator: WorkEstimator
    request_ages: RequestAgeEstimator
    crash_guard: CrashGuard
    moves: VersionMoves
    tokens_per_event: Callable[[], int]
    record_departure: Callable[[Departure], None]
    servers_age_s: Callable[[], float | None]
    clock: Callable[[], float]
    send_limits: SendLimits = field(default_factory=NoSendLimits)
    learning: ServerLearning = field(default_factory=ServerLearning)


class Exchange:
    """Runs one request: waits, dispatches, retries, relays the answer.

    check_first_send raises AzurewickError when a request that has waited may
    not be sent to a server any more. Without homes, all regions may get the
    request.
    """

    def __init__(
        self,
        parts: ExchangeParts,
        request: CallerRequest,
        route: Route,
        *,
        customer: str,
        rank: Rank,
        body: RequestBody | None,
        traits: tuple[str, ...],
        writer: AnswerWriter,
        check_first_send: Callable[[], None],
        homes: RequestHomes | None = None,
    ) -> None:
        self.trace = ExchangeTrace()
        self._parts = parts
        self._request = request
        self._route = route
        self._customer = customer
        self._rank = rank
        self._body = body
        self._traits = traits
        self._check_first_send = check_first_send
        self._homes = homes
        self._tried: set[str] = set()
        self._work: WorkEstimate | None = None
        self._tries_new_version = False
        # Server of the current attempt.
        self._backend: Backend | None = None
        # Name of the server that has last held back the request as it is cold.
        self._withheld_by = ""
        # Whether the current attempt has been sent.
        self._is_sent = False
        # Number of requests at that server when the attempt began.
        self._sent_load = 0.0
        self._runs = 0
        # Whether a server has gone on after it had begun the answer.
        self._is_sound = False
        # Whether the current attempt is the last one, whatever its end.
        self._is_last_attempt = False
        self._rejections = 0
        self._failed_connections = 0
        self._started_s = request.received_s
        self._first_sent_s = request.received_s - parts.request_ages.age_s(
            route, request
        )
        self._relay = AnswerRelay(
            writer,
            self.trace,
            is_resumable=route.is_resumable,
            on_output=self._handle_output,
            last_event_id=request.last_event_id,
            started_s=request.received_s,
            clock=parts.clock,
        )
        self._deadline_at_s = request.received_s + route.limit_s(request)

    @property
    def may_have_run(self) -> bool:
        """Return whether a server may have run the request."""
        return self._runs > 0

    @property
    def is_answer_started(self) -> bool:
        """Return whether the caller has received a part of the answer."""
        return self._relay.is_started

    async def async_run(self) -> None:
        """Run the request and relay its answer.

        Raises AzurewickError when it fails before anything has been sent to
        the caller, and BrokenAnswerError when it fails after that.
        """
        self._parts.retry_budget.record_request(self._parts.clock())
        loop = asyncio.get_running_loop()
        now_s = self._parts.clock()
        left_s = self._deadline_at_s - now_s
        self._tries_new_version = self._parts.moves.choose_new_version(
            self._route, self._parts.service, self._estimate().total_s, now_s
        )
        try:
            async with asyncio.timeout_at(loop.time() + max(0.0, left_s)):
                await self._async_attempts()
        except TimeoutError as err:
            if self._relay.is_started:
                raise BrokenAnswerError from err
            raise self._timeout_error() from err
        except AzurewickError as err:
            if self._relay.is_started:
                # No server was free to resume the stream.
                raise BrokenAnswerError from err
            if self._runs and err.outcome is Outcome.NOT_RUN:
                # The retry was refused, but an earlier attempt may have run.
                raise self._timeout_error() from err
            if err.code is ErrorCode.BACKEND_UNREACHABLE:
                raise _unreachable_error(err) from err
            raise

    async def _async_attempts(self) -> None:
        while True:
            backend = await self._async_acquire()
            try:
                # Other instances may have found the cause of crashes while
                # the request waited.
                self._parts.crash_guard.raise_if_culprit(
                    self._traits, is_dispatch=True
                )
                if not self._runs:
                    self._check_first_send()
                await self._async_attempt(backend)
                return
            except _AttemptFailedError as err:
                if not self._may_retry(err.error):
                    if self._relay.is_started:
                        raise BrokenAnswerError from err
                    raise err.error from err
            finally:
                self._parts.dispatcher.release(backend)

    async def _async_acquire(self) -> Backend:
        now_s = self._parts.clock()
        service = self._parts.service
        if self._homes is not None:
            self._homes.raise_if_unservable(service)
        try:
            backend = await self._parts.dispatcher.async_acquire(
                self._build_demand()
            )
        except AzurewickError as err:
            if self._homes is None:
                raise
            raise self._homes.explain(err, service) from err
        self.trace.waited_s += self._parts.clock() - now_s
        return backend

    def _build_demand(self) -> Demand:
        homes = self._homes
        return Demand(
            rank=self._rank,
            work=self._estimate(),
            target_s=self._first_sent_s + self._route.target_s,
            deadline_at_s=self._deadline_at_s - MIN_DISPATCH_S,
            is_caller_retry=self._first_sent_s < self._started_s,
            is_started=self._relay.is_started,
            shared_part=find_shared_part(self._request),
            excluded=frozenset(self._tried),
            on_new_version=self._tries_new_version and not self._tried,
            customer=self._customer,
            home_regions=None if homes is None else homes.regions(),
            find_home_regions=None if homes is None else homes.regions,
        )

    def _estimate(self) -> WorkEstimate:
        """Return the expected work, which is estimated once a request."""
        if self._work is None:
            self._work = self._parts.work_estimator.estimate(
                self._route, self._request, self._parts.service
            )
        return self._work

    async def _async_attempt(self, backend: Backend) -> None:
        now_s = self._parts.clock()
        self._tried.add(backend.name)
        self._runs += 1
        self._backend = backend
        self._is_sent = False
        self._sent_load = self._parts.learning.load(backend, now_s)
        self._parts.moves.record_sent(self._route, backend)
        call = BackendCall(
            request=self._request,
            body=self._body,
            customer=self._customer,
            backend_name=backend.name,
            address=backend.entry.address,
            time_left_s=self._deadline_at_s - now_s,
            last_event_id=self._relay.last_event_id,
            is_wanted=lambda: self._try_send(backend),
        )
        attempt = AttemptTrace(
            server=backend.name,
            load=backend.in_flight,
            revision=backend.entry.revision,
            is_listed=backend.is_listed,
            list_age_s=self._parts.servers_age_s(),
            sent_s=now_s - self._started_s,
            outcome=OUTCOME_UNFINISHED,
        )
        self.trace.attempts.append(attempt)
        response: ClientResponse | None = None
        watchdog = StallWatchdog(
            self._first_output_timeout_s(), self._may_abandon_server
        )
        try:
            async with watchdog:
                response = await self._parts.client.async_send(call)
                attempt.framing = answer_framing(response)
                await self._async_relay(backend, response, watchdog, now_s)
            attempt.outcome = str(response.status)
            attempt.ending = AnswerEnding.COMPLETE
        except AzurewickError as err:
            if response is None and shows_lost_server(err):
                self._parts.send_limits.record_failure(
                    backend.entry, self._parts.clock()
                )
            if response is None and err.outcome is Outcome.UNKNOWN:
                self._record_lost_server(backend)
            self._fail_attempt(backend, err, is_lost=response is None)
        except StalledError as err:
            self._fail_attempt(
                backend,
                _backend_failed_error(
                    backend, f"backend server did not answer in time: {err}"
                ),
                cause=err,
            )
        except (ClientError, OSError, ValueError) as err:
            is_lost = not isinstance(err, ValueError)
            if is_lost:
                self._record_lost_server(backend)
            self._fail_attempt(
                backend,
                _backend_failed_error(
                    backend, f"answer was interrupted: {err!r}"
                ),
                cause=err,
                is_lost=is_lost,
            )
        except asyncio.CancelledError:
            if watchdog.idle_s() >= FIRST_EVENT_TIMEOUT_S:
                # The deadline has passed or the caller has left.
                record_failure(backend, self._parts.clock())
                self._record_end(backend, failed=True)
            raise
        finally:
            backend.sent_in_flight -= self._is_sent
            if response is not None:
                response.close()

    def _try_send(self, backend: Backend) -> bool:
        """Return whether the server gets the request, and count it."""
        now_s = self._parts.clock()
        limits = self._parts.send_limits
        if not (
            backend.accepts_work(now_s)
            and (self._homes is None or self._homes.allows(backend))
            and limits.try_send(backend.entry, now_s)
        ):
            return False
        self._is_sent = True
        backend.sent_in_flight += 1
        pause_s = limits.retry_after_s(backend.entry, now_s)
        if pause_s is not None:
            asyncio.get_running_loop().call_later(
                pause_s, self._parts.dispatcher.assign_slots
            )
        return True

    async def _async_relay(
        self,
        backend: Backend,
        response: ClientResponse,
        watchdog: StallWatchdog,
        sent_s: float,
    ) -> None:
        """Check an answer, pass it on and record it."""
        head = self._parts.protocol.decode_answer(
            response, self._request.request_id
        )
        if head.is_server_leaving and not head.is_other_server:
            self._parts.record_departure(
                Departure(
                    run=backend.entry.run_name, source=DepartureSource.ANSWER
                )
            )
        if head.status == STATUS_UNAVAILABLE and head.retry_after_s:
            self._pause_server(backend, head.retry_after_s)
        self._check_answer_head(backend, head)
        if head.is_success:
            self._parts.send_limits.record_success(
                backend.entry, sent_s, self._parts.clock()
            )
        if self._route.is_stream and head.is_success:
            max_tokens = self._request.output_tokens
            events = await self._relay.async_relay_stream(
                response,
                head,
                watchdog,
                event_timeout_s=(
                    EVENT_TIMEOUT_S if self._can_run_again() else None
                ),
                max_events=max_tokens + EXTRA_EVENTS if max_tokens else None,
            )
            self._learn_from_stream(backend, sent_s, events)
        else:
            await self._relay.async_relay_buffered(response, head, watchdog)
        self._record_answer(backend, head, sent_s)

    def _pause_server(self, backend: Backend, pause_s: float) -> None:
        """Send nothing to a server until it wants requests again."""
        backend.record_pause(pause_s, self._parts.clock())
        _LOGGER.info(
            "backend server paused",
            extra={
                "backend_server": backend.name,
                "pause_s": round(pause_s, 3),
            },
        )
        asyncio.get_running_loop().call_later(
            pause_s, self._parts.dispatcher.assign_slots
        )

    def _fail_attempt(
        self,
        backend: Backend,
        error: AzurewickError,
        cause: BaseException | None = None,
        *,
        is_lost: bool = False,
    ) -> None:
        """Record a failed attempt and raise _AttemptFailedError.

        is_lost is set when the connection to the server was lost.
        """
        attempt = self.trace.attempts[-1]
        attempt.ending = classify_ending(
            cause or error, has_head=bool(attempt.framing)
        )
        if isinstance(error, ServerWithdrawnError) and backend.accepts_work(
            self._parts.clock()
        ):
            # Only the rate of requests to it is used up. It may get the
            # request once another server hasn't taken it either.
            self._tried.discard(self._withheld_by)
            self._withheld_by = backend.name
        if error.outcome is Outcome.NOT_RUN:
            self._runs -= 1
            if error.code is ErrorCode.BACKEND_UNREACHABLE:
                self._failed_connections += 1
            elif not isinstance(error, ServerWithdrawnError):
                self._rejections += 1
        if error.code is not ErrorCode.OVERLOADED:
            self._record_end(backend, failed=True, is_lost=is_lost)
            record_failure(
                backend,
                self._parts.clock(),
                is_unreachable=error.code is ErrorCode.BACKEND_UNREACHABLE,
            )
        attempt.outcome = (
            OUTCOME_NOT_SENT
            if isinstance(error, ServerWithdrawnError)
            else error.code.value
        )
        raise _AttemptFailedError(error) from cause

    def _record_end(
        self, backend: Backend, *, failed: bool, is_lost: bool = False
    ) -> None:
        """Record the end of an attempt for a move of the server's version."""
        self._parts.moves.record_end(
            self._route,
            backend,
            self._parts.clock(),
            failed=failed,
            lost_run=backend.entry.run_name if is_lost else None,
        )

    def _record_first_output(self, backend: Backend) -> None:
        """Record the time to the first output, for a version move."""
        attempt = self.trace.attempts[-1]
        if not self._route.has_prompt or attempt.first_byte_s is None:
            return
        now_s = self._parts.clock()
        first_s = attempt.first_byte_s - attempt.sent_s
        nominal_s = measure_work(self._request, 0).first_token_s
        self._parts.moves.record_first(
            self._route, backend, first_s / nominal_s, now_s
        )
        self._parts.learning.record_first(
            backend, self._request, self._sent_load, first_s, now_s
        )

    def _handle_output(self, *, is_first: bool) -> None:
        """Record what an output tells about the server and the request."""
        if is_first and self._backend is not None:
            self._record_first_output(self._backend)
        if not self._is_last_attempt and not self._can_run_again():
            self._is_last_attempt = True
            if self._body is not None:
                self._body.release_when_sent()
        is_success = self.trace.status // 100 == 2
        if is_success and not self._is_sound and not self._is_output_new():
            self._record_sound()

    def _record_sound(self) -> None:
        self._is_sound = True
        self._parts.crash_guard.record_sound(self._traits)

    def _is_output_new(self) -> bool:
        """Return whether the server has just begun the answer, or hasn't."""
        first_byte_s = self.trace.attempts[-1].first_byte_s
        if first_byte_s is None:
            return True
        age_s = self._parts.clock() - self._started_s
        return age_s - first_byte_s < SOUND_AFTER_S

    def _record_lost_server(self, backend: Backend) -> None:
        """Record that the connection to a server was lost.

        A server crashes when it begins the answer that makes it crash.
        """
        if self._is_sound or not self._is_output_new():
            return
        self._parts.crash_guard.record_lost(backend, self._traits)

    def _check_answer_head(self, backend: Backend, head: AnswerHead) -> None:
        """Raise AzurewickError unless the answer may be relayed."""
        if head.has_other_request_id:
            raise _backend_failed_error(
                backend, "answer belongs to another request"
            )
        if head.is_other_server:
            # Its address has been assigned anew. An instance that can't reach
            # the store still lists it, and it has no load.
            record_failure(backend, self._parts.clock(), is_unreachable=True)
        if head.is_rejection:
            raise AzurewickError(
                ErrorCode.OVERLOADED,
                f"backend server rejected the request with {head.status}",
                step=Step.DISPATCH,
                peer=backend.name,
                retry_after_s=RETRY_AFTER_S,
            )
        if head.status < FIRST_FINAL_STATUS:
            raise _backend_failed_error(
                backend, f"backend server answered with {head.status}"
            )
        if self.trace.attempts[-1].framing == FRAMING_UNSUPPORTED:
            raise _backend_failed_error(
                backend, "the transfer encoding of the answer is unsupported"
            )
        if head.is_success and (not head.is_signed or head.is_encoded):
            raise _backend_failed_error(
                backend, "answer is unsigned or its content is encoded"
            )
        if self._relay.is_started and not head.is_success:
            # The caller has received the first part of a stream and would
            # take the body of an error for the rest of it.
            raise NotResumedError(
                ErrorCode.BACKEND_FAILED,
                f"answer was not resumed: {head.status}",
                step=Step.DISPATCH,
                peer=backend.name,
                outcome=Outcome.UNKNOWN,
            )
        if head.status >= 500 and self._can_run_again():
            raise _backend_failed_error(
                backend, f"backend server failed with {head.status}"
            )

    def _learn_from_stream(
        self, backend: Backend, sent_s: float, events: int
    ) -> None:
        """Update the length and slowdown averages by a complete stream."""
        tokens = events * self._parts.tokens_per_event()
        self._parts.work_estimator.record_output(
            self._route, self._request, tokens
        )
        now_s = self._parts.clock()
        nominal_s = measure_work(self._request, tokens).total_s
        took_s = now_s - sent_s
        self._parts.moves.record_total(
            self._route, backend, took_s / nominal_s, now_s
        )
        attempt = self.trace.attempts[-1]
        first_s = (
            None
            if attempt.first_byte_s is None
            else attempt.first_byte_s - attempt.sent_s
        )
        work = self._parts.learning.record_stream(
            backend,
            self._request,
            load=self._sent_load,
            output_tokens=tokens,
            first_event_tokens=self._parts.tokens_per_event(),
            first_s=first_s,
            took_s=took_s,
            now_s=now_s,
        )
        backend.record_slowdown(took_s, work.total_s, now_s)
        if first_s is not None:
            backend.speeds.add_first(first_s, work.first_token_s, now_s)

    def _record_answer(
        self, backend: Backend, head: AnswerHead, sent_s: float
    ) -> None:
        now_s = self._parts.clock()
        if head.is_success:
            self._record_sound()
        self._record_end(backend, failed=head.status >= 500)
        if head.status >= 500:
            record_failure(backend, now_s)
            return
        backend.record_success(now_s)
        if not self._route.is_stream:
            backend.record_slowdown(now_s - sent_s, NOMINAL_PLAIN_S, now_s)
            slowdown = (now_s - sent_s) / NOMINAL_PLAIN_S
            self._parts.moves.record_total(
                self._route, backend, slowdown, now_s
            )
            self._parts.learning.record_answer(
                backend, self._sent_load, slowdown, now_s
            )

    def _first_output_timeout_s(self) -> float | None:
        """Return the timeout of the first event or of a plain answer."""
        if not self._can_run_again():
            return None
        if self._route.is_stream:
            return FIRST_EVENT_TIMEOUT_S
        return self._route.target_s * PLAIN_ANSWER_TIMEOUT_FACTOR

    def _may_abandon_server(self) -> bool:
        """Return whether another server can take over from a stalled one.

        Otherwise the request waits on: the server may only be slow.
        """
        now_s = self._parts.clock()
        return (
            self._can_run_again()
            and now_s < self._deadline_at_s - MIN_DISPATCH_S
            and self._parts.retry_budget.has_retry(now_s)
            and self._parts.dispatcher.has_free_slot(self._build_demand())
        )

    def _can_run_again(self) -> bool:
        """Return whether the request may run again at another server."""
        route = self._route
        repeatable = route.is_repeatable or (
            route.is_stream and route.is_resumable
        )
        return (
            repeatable
            and not self._is_last_attempt
            and self._relay.may_change_server
            and self._runs < route.max_attempts
        )

    def _may_retry(self, error: AzurewickError) -> bool:
        if self._is_last_attempt or not self._relay.may_change_server:
            return False
        if error.outcome is Outcome.NOT_RUN:
            allowed = (
                self._rejections <= MAX_REJECTIONS
                and self._failed_connections <= MAX_FAILED_CONNECTIONS
            )
        else:
            allowed = self._can_run_again()
        now_s = self._parts.clock()
        if not allowed or now_s > self._deadline_at_s - MIN_DISPATCH_S:
            return False
        if error.code is ErrorCode.BACKEND_UNREACHABLE or isinstance(
            error, ServerWithdrawnError
        ):
            # The server received nothing, so this is no repeated request and
            # isn't taken from the retry budget.
            return True
        return self._parts.retry_budget.try_retry(now_s)

    def _timeout_error(self) -> AzurewickError:
        if not self._runs:
            return AzurewickError(
                ErrorCode.OVERLOADED,
                "no backend server accepted the request in time",
                step=Step.QUEUE,
                retry_after_s=RETRY_AFTER_S,
            )
        return AzurewickError(
            ErrorCode.OUTCOME_UNKNOWN,
            "no answer before the request's deadline",
            step=Step.DISPATCH,
            outcome=Outcome.UNKNOWN,
        )


def record_failure(
    backend: Backend, now_s: float, *, is_unreachable: bool = False
) -> None:
    """Record a failure; log it if it ejects the server."""
    if backend.record_failure(now_s, is_unreachable=is_unreachable):
        _LOGGER.info(
            "backend server ejected",
            extra={
                "backend_server": backend.name,
                "is_unreachable": is_unreachable,
                "ejections": backend.ejections,
                "pause_s": round(backend.ejected_until_s - now_s, 3),
            },
        )


def _unreachable_error(error: AzurewickError) -> AzurewickError:
    """Return the error for a request that no server could be sent.

    Callers send a request that may run only once again after a 503, which
    says that it hasn't run, and not after a 502.
    """
    return AzurewickError(
        ErrorCode.OVERLOADED,
        f"no connection to a backend server: {error}",
        step=Step.DISPATCH,
        peer=error.peer,
        retry_after_s=RETRY_AFTER_S,
    )


def _backend_failed_error(backend: Backend, message: str) -> AzurewickError:
    return AzurewickError(
        ErrorCode.BACKEND_FAILED,
        message,
        step=Step.DISPATCH,
        peer=backend.name,
        outcome=Outcome.UNKNOWN,
    )
