"""Routes and handles HTTP requests. `server` does the socket I/O, and the engine decides on attempts."""

from __future__ import annotations

import base64
import binascii
import math
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import unquote

import msgspec

from saffronstack.config.build import ConfiguredFunction, Functions
from saffronstack.config.schema import Config
from saffronstack.daemon.process_group import FORWARDED_HEADER, ProcessGroup
from saffronstack.deferred.deferred_calls import DeferredCalls
from saffronstack.durable.errors import RunDamagedError
from saffronstack.engine.engine import Engine
from saffronstack.engine.identifiers import LATEST
from saffronstack.http1.messages import HttpError, RequestHead
from saffronstack.invoke import errors, names, sigv4, usage
from saffronstack.invoke.call_metrics import CallMetrics, outcome_of_error, outcome_of_response
from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.invocation import Invocation
from saffronstack.invoke.invocation_executor import InvocationExecutor
from saffronstack.invoke.operation_forwarding import (
    DEADLINE_HEADER,
    ForwardableRequest,
    OperationForwarder,
    misdirected,
)
from saffronstack.invoke.response import Response
from saffronstack.metering.account import Account
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.operations.errors import (
    ClientDisconnectedError,
    IdempotencyKeyTooLongError,
    SlotNotHeldError,
)
from saffronstack.operations.idempotency_keys import idempotency_key_of
from saffronstack.operations.operation_service import OperationService
from saffronstack.operations.operation_status import StatusQuery, find_operations

INVOCATION_TYPES = ("RequestResponse", "Event", "DryRun")
LOG_TYPES = ("None", "Tail")
MAX_CONTEXT_BYTES = 3583  # documented limit of X-Amz-Client-Context in the Lambda API


class Page(Protocol):
    """Handles GET requests for a path outside the API, such as the metrics or the health check."""

    def __call__(self) -> Response:
        """Return the response with the current content."""
        ...


@dataclass(frozen=True, slots=True)
class AccessKeys:
    """Access keys: their secrets and tenants. A configuration reload replaces the whole object at once."""

    secrets: Mapping[str, str]
    tenant_by_key: Mapping[str, str]

    @staticmethod
    def from_config(config: Config) -> AccessKeys:
        """Return the access keys of a configuration."""
        return AccessKeys(
            {key.id: key.secret for key in config.keys}, {key.id: key.tenant for key in config.keys}
        )


def new_request_id() -> str:
    """Return a random UUID, the form of request id that the Lambda API uses."""
    return str(uuid.uuid4())


class App:
    """Handles the requests of all connections. Thread-safe: each connection has its own thread."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        functions: Functions,
        deferred: DeferredCalls | None,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        pages: Mapping[str, Page],
        members: ProcessGroup,
        budgets: BudgetEnforcer | None = None,
        account: Account | None = None,
        operations: OperationService | None = None,
        forwarder: OperationForwarder | None = None,
    ) -> None:
        self.access_keys = AccessKeys.from_config(config)
        self._config = config
        self._operations = operations
        self._forwarder = forwarder
        self._executor = InvocationExecutor(config, engine, deferred, clock, budgets, operations)
        self._functions = functions
        self._deferred = deferred
        self._clock = clock
        self._wall_clock = wall_clock
        self._pages = pages
        self._members = members
        self._budgets = budgets
        self._account = account
        self._tenants = {tenant.name: index for index, tenant in enumerate(config.tenants)}
        self.call_metrics = CallMetrics(tuple(call_class.name for call_class in config.classes))
        self._decode_json = msgspec.json.Decoder(msgspec.Raw).decode

    def handle_request(
        self, head: RequestHead, body: bytes, is_client_connected: Callable[[], bool]
    ) -> Response:
        """Handle a request and return its response.

        Raises:
            ClientDisconnectedError: The client disconnected before the response was known.
        """
        request_id = self._members.add_owner(new_request_id())
        try:
            path, query = names.parse_request_target(head.target)
            if (page := self._pages.get(path)) is not None:
                if head.method != "GET":
                    return self._method_not_allowed(request_id, "GET")
                index = query.get("process", "")
                if index.isdigit() and len(index) < 4 and int(index) != self._members.index:
                    return self._forward_to_process(int(index), head)
                return page()
            if match := names.INVOKE_PATH.fullmatch(path):
                if head.method != "POST":
                    return self._method_not_allowed(request_id, "POST")
                target = names.parse_function(match[1], query, self._config.account, self._config.region)
                return self._invoke(request_id, head, body, target, is_client_connected)
            if match := names.DEFERRED_PATH.fullmatch(path):
                return self._deferred_call_status(request_id, head, body, match[1])
            if match := names.OPERATION_PATH.fullmatch(path):
                return self._operation_status(request_id, head, body, unquote(match[1]), query)
            if match := names.USAGE_PATH.fullmatch(path):
                return self._usage_report(request_id, head, body, unquote(match[1]))
            raise InvokeError(404, "ResourceNotFoundException", f"No such path: {path[:200]}")
        except InvokeError as error:
            return self.error_response(request_id, error)

    def error_response(self, request_id: str, error: InvokeError) -> Response:
        """Return the response for an error, in the format of the Lambda API."""
        return Response(
            error.status,
            (
                ("Content-Type", "application/json"),
                ("x-amzn-RequestId", request_id),
                ("x-amzn-ErrorType", error.error_type),
                *error.headers,
            ),
            error.body(),
        )

    def malformed_request_response(self, error: HttpError) -> Response:
        """Return the response to a request that could not be parsed or read completely."""
        error_type = {413: "RequestTooLargeException", 408: "RequestTimeoutException"}.get(
            error.status, "InvalidRequestContentException"
        )
        return self.error_response(new_request_id(), InvokeError(error.status, error_type, error.text))

    def body_limit(self, head: RequestHead) -> int:
        """Return the maximum body size of a request in bytes, which depends on its invocation type."""
        limits = self._config.limits
        is_event = head.headers.get("x-amz-invocation-type") == "Event"
        return limits.event_payload_bytes if is_event else limits.payload_bytes

    def _method_not_allowed(self, request_id: str, allowed: str) -> Response:
        response = self.error_response(
            request_id, InvokeError(405, "MethodNotAllowedException", f"Use {allowed}.")
        )
        return Response(response.status, (*response.headers, ("Allow", allowed)), response.body)

    def _authenticate(self, head: RequestHead, body: bytes) -> str:
        """Return the name of the tenant that a request belongs to.

        With access keys configured, the signature is verified and its key names the tenant. Without keys, an
        access key id that equals a tenant's name selects that tenant; other requests belong to the first one.

        Raises:
            InvokeError: The signature is missing, malformed or wrong.
        """
        access_keys = self.access_keys
        if access_keys.secrets:
            key = sigv4.verify(
                head.method,
                head.target,
                head.headers,
                body,
                access_keys.secrets,
                self._wall_clock(),
                self._config.clock_skew_s,
            )
            return access_keys.tenant_by_key[key]
        credential = sigv4.parse_credential(head.headers) if "authorization" in head.headers else None
        if credential is not None and credential.access_key_id in self._tenants:
            return credential.access_key_id
        return self._config.tenants[0].name

    def _invoke(
        self,
        request_id: str,
        head: RequestHead,
        body: bytes,
        target: names.QualifiedFunction,
        is_client_connected: Callable[[], bool],
    ) -> Response:
        tenant = self._authenticate(head, body)
        function = self._resolve_function(target)
        invocation_type = _enumerated_header(
            head, "x-amz-invocation-type", "invocationType", INVOCATION_TYPES
        )
        log_type = _enumerated_header(head, "x-amz-log-type", "logType", LOG_TYPES)
        payload = self._validated_payload(body)
        client_context = self._validated_client_context(head.headers.get("x-amz-client-context"))
        idempotency_key = _idempotency_key(head)
        if invocation_type == "DryRun":
            version = ("X-Amz-Executed-Version", target.qualifier)
            return Response(204, (("x-amzn-RequestId", request_id), version))
        wants_log = log_type == "Tail"
        deadline_s = self._clock() + function.deadline_s - self._config.answer_margin_s * 0.2
        deadline_s = min(deadline_s, _forwarded_deadline_s(head))
        invocation = Invocation(
            request_id,
            tenant,
            function,
            target.qualifier,
            payload,
            client_context,
            idempotency_key,
            deadline_s,
            wants_log,
        )

        def execute_here() -> Response:
            return self._execute(invocation, invocation_type, is_client_connected)

        policy = self._executor.policy(invocation)
        if (
            self._forwarder is None
            or not idempotency_key
            or not (policy.requires_slot or invocation_type == "Event")
        ):
            return execute_here()
        if FORWARDED_HEADER in head.headers:
            try:
                return execute_here()
            except SlotNotHeldError:
                raise misdirected() from None
        digest = invocation.identity(invocation_type).digest()
        is_logged = policy.is_logged or invocation_type == "Event"
        request = ForwardableRequest(
            head,
            body,
            digest,
            deadline_s,
            is_logged,
            lambda: self._executor.outcome_unknown_response(invocation),
        )
        return self._forwarder.execute(request, execute_here)

    def _execute(
        self, invocation: Invocation, invocation_type: str, is_client_connected: Callable[[], bool]
    ) -> Response:
        """Execute an invocation in this process, and record its outcome and latency."""
        call_class, record = invocation.function.config.call_class, self.call_metrics.record
        is_deferred = invocation_type == "Event"
        perform = self._executor.defer if is_deferred else self._executor.call
        if not is_deferred and not is_client_connected():  # it left with requests unread before this one
            raise ClientDisconnectedError
        started_s = self._clock()
        try:
            response = perform(invocation, is_client_connected)
        except InvokeError as error:
            if outcome := outcome_of_error(error):
                record(call_class, outcome, 0.0)
            raise
        record(call_class, outcome_of_response(response), self._clock() - started_s)
        return response

    def _resolve_function(self, target: names.QualifiedFunction) -> ConfiguredFunction:
        function = self._functions.get(target.name)
        if function is None or target.qualifier not in (LATEST, *function.config.qualifiers):
            qualifier = "" if target.qualifier == LATEST else target.qualifier
            raise errors.not_found(
                names.arn(self._config.region, self._config.account, target.name, qualifier)
            )
        return function

    def _validated_payload(self, body: bytes) -> bytes:
        if not body:
            return b"{}"
        try:
            self._decode_json(body)
            body.decode()
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise errors.bad_content(f"Could not parse request body into json: {error}") from error
        except RecursionError as error:
            raise errors.bad_content("Could not parse request body into json: nested too deeply") from error
        return body

    def _validated_client_context(self, text: str) -> str:
        if not text:
            return ""
        if len(text) > MAX_CONTEXT_BYTES:
            raise errors.bad_content(f"Client context must be no more than {MAX_CONTEXT_BYTES} bytes.")
        try:
            self._decode_json(base64.b64decode(text, validate=True))
        except (binascii.Error, ValueError) as error:
            raise errors.bad_content("Client context must be a valid Base64-encoded JSON object.") from error
        return text

    # ---- requests outside the Invoke API

    def _forward_to_process(self, index: int, head: RequestHead) -> Response:
        """Forward a GET request to another process of this gateway, which verifies its signature."""
        fields = _select_headers(head.headers.items, ("host", "authorization"))
        response = None
        if index < self._members.count and FORWARDED_HEADER not in head.headers:
            response = self._members.request_from(index, head.target, fields)
        if response is None:
            raise errors.service_error(f"Process {index} of this gateway does not answer now.", 503)
        response_head, body = response
        return Response(
            response_head.status, tuple(_select_headers(response_head.headers.items, ("content-type",))), body
        )

    def _deferred_call_status(
        self, request_id: str, head: RequestHead, body: bytes, requested_id: str
    ) -> Response:
        """Return the state or the invocation record of a deferred call.

        This endpoint is not part of the Lambda API. Where access keys are configured, only the tenant that
        submitted the call can read it.
        """
        if head.method != "GET":
            return self._method_not_allowed(request_id, "GET")
        tenant = self._authenticate(head, body)
        found = self._deferred.report(requested_id) if self._deferred is not None else None
        owner = self._members.other_owner(requested_id)
        if found is None and owner is not None and FORWARDED_HEADER not in head.headers:
            return self._forward_to_process(owner, head)
        if found is None or (self.access_keys.secrets and found.tenant != tenant):
            raise InvokeError(
                404, "ResourceNotFoundException", f"No deferred call has the id {requested_id[:64]}"
            )
        headers = (("Content-Type", "application/json"), ("x-amzn-RequestId", request_id))
        if found.invocation_record is not None:
            return Response(200, headers, found.invocation_record)
        state = {"requestId": requested_id, "state": found.status.value, "attempts": found.attempts}
        return Response(202, headers, msgspec.json.encode(state))

    def _operation_status(
        self, request_id: str, head: RequestHead, body: bytes, idempotency_key: str, query: Mapping[str, str]
    ) -> Response:
        """Return the status of an operation of the requesting tenant.

        This endpoint is not part of the Lambda API.
        """
        if head.method != "GET":
            return self._method_not_allowed(request_id, "GET")
        tenant = self._authenticate(head, body)
        if self._operations is None:
            raise InvokeError(404, "ResourceNotFoundException", "This gateway remembers no operations.")
        function, qualifier = query.get("function", ""), query.get("qualifier", LATEST)
        functions = [function] if function else self._functions.exact_names()
        status_query = StatusQuery(tenant, idempotency_key, functions, qualifier)
        found = find_operations(self._operations, status_query, self._clock())
        if not found:
            raise InvokeError(
                404, "ResourceNotFoundException", f"No operation is named {idempotency_key[:128]}"
            )
        headers = (("Content-Type", "application/json"), ("x-amzn-RequestId", request_id))
        return Response(200, headers, msgspec.json.encode(found))

    def _usage_report(
        self, request_id: str, head: RequestHead, body: bytes, requested_tenant: str
    ) -> Response:
        """Return the usage that a tenant is charged for, summed over all processes on this address.

        This endpoint is not part of the Lambda API. A tenant can read only its own usage.
        """
        if head.method != "GET":
            return self._method_not_allowed(request_id, "GET")
        tenant = self._authenticate(head, body)
        if self._account is None:
            raise InvokeError(404, "ResourceNotFoundException", "This gateway does not meter.")
        if tenant != requested_tenant:
            raise InvokeError(403, "AccessDeniedException", f"The key is not {requested_tenant[:140]}'s.")
        try:
            report = usage.tenant_usage(self._account, self._budgets, tenant, self._clock())
        except (RunDamagedError, OSError) as error:
            raise errors.service_error(f"Usage can't be read now: {error}") from error
        if FORWARDED_HEADER not in head.headers:
            fields = _select_headers(head.headers.items, ("host", "authorization"))

            def request_usage(index: int) -> bytes | None:
                response = self._members.request_from(index, head.target, fields)
                return response[1] if response is not None and response[0].status == 200 else None

            report = usage.collect_usage(report, self._members.count, self._members.index, request_usage)
        headers = (("Content-Type", "application/json"), ("x-amzn-RequestId", request_id))
        return Response(200, headers, msgspec.json.encode(report))


def _enumerated_header(head: RequestHead, header: str, parameter: str, choices: tuple[str, ...]) -> str:
    """Return a header's value, which must be one of ``choices``; a missing header means the first of them.

    Raises:
        InvokeError: The value is not among the choices.
    """
    value = head.headers.get(header, choices[0])
    if value not in choices:
        listed = ", ".join(choices)
        raise errors.bad_parameter(f"Value '{value[:64]}' at '{parameter}' is none of {listed}.")
    return value


def _idempotency_key(head: RequestHead) -> str:
    """Return the idempotency key of a request; empty if it has none.

    Raises:
        InvokeError: The key is too long.
    """
    try:
        return idempotency_key_of(head.headers)
    except IdempotencyKeyTooLongError as error:
        raise errors.bad_parameter(str(error)) from error


def _forwarded_deadline_s(head: RequestHead) -> float:
    """Return until when a request may be started, as set by the process of this gateway that forwarded it.

    The result is infinite for requests that came from clients, and if the header is not a number.
    """
    if FORWARDED_HEADER not in head.headers:
        return math.inf
    try:
        return float(head.headers.get(DEADLINE_HEADER))
    except ValueError:
        return math.inf


def _select_headers(fields: list[tuple[str, str]], names: tuple[str, ...]) -> list[tuple[str, str]]:
    return [(name, value) for name, value in fields if name in names or name.startswith("x-amz")]


__all__ = ["AccessKeys", "App", "ClientDisconnectedError", "Page", "Response", "new_request_id"]
