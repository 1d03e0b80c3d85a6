"""What a request to the invoke front means, and its answer. Sockets are `server`'s, decisions the core's."""

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
from saffronstack.invoke.calling import Caller
from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.figures import ByClass, ending_of, ending_of_error
from saffronstack.invoke.invocation import Invocation
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

KINDS = ("RequestResponse", "Event", "DryRun")
LOG_TYPES = ("None", "Tail")
MAX_CONTEXT_BYTES = 3583  # bytes of X-Amz-Client-Context, by the API's page


class Page(Protocol):
    """A page beside the API: metrics, health."""

    def __call__(self) -> Response:
        """The page now."""
        ...


@dataclass(frozen=True, slots=True)
class Access:
    """Keys and tenants, changed as a whole by a reread."""

    secrets: Mapping[str, str]
    tenant_by_key: Mapping[str, str]

    @staticmethod
    def of(config: Config) -> Access:
        """What a configuration says."""
        return Access(
            {key.id: key.secret for key in config.keys}, {key.id: key.tenant for key in config.keys}
        )


def response_id() -> str:
    """A request id in the API's form."""
    return str(uuid.uuid4())


class App:
    """Answers requests; used by every connection's thread."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        functions: Functions,
        deferred: DeferredCalls | None,
        clock: Callable[[], float],
        wall: Callable[[], float],
        pages: Mapping[str, Page],
        members: ProcessGroup,
        limits: BudgetEnforcer | None = None,
        account: Account | None = None,
        operations: OperationService | None = None,
        forwarder: OperationForwarder | None = None,
    ) -> None:
        self.access = Access.of(config)
        self._config = config
        self._operations = operations
        self._forwarder = forwarder
        self._caller = Caller(config, engine, deferred, clock, limits, operations)
        self._functions = functions
        self._deferred = deferred
        self._clock = clock
        self._wall = wall
        self._pages = pages
        self._members = members
        self._limits = limits
        self._account = account
        self._tenants = {tenant.name: place for place, tenant in enumerate(config.tenants)}
        self.figures = ByClass(tuple(cls.name for cls in config.classes))
        self._validate = msgspec.json.Decoder(msgspec.Raw).decode

    def answer(self, head: RequestHead, body: bytes, client_there: Callable[[], bool]) -> Response:
        """The answer to one request; ClientDisconnectedError where nobody waits for it any more."""
        request_id = self._members.add_owner(response_id())
        try:
            path, query = names.parse_target(head.target)
            if (page := self._pages.get(path)) is not None:
                if head.method != "GET":
                    return self._method(request_id, "GET")
                index = query.get("process", "")
                if index.isdigit() and len(index) < 4 and int(index) != self._members.index:
                    return self._elsewhere(int(index), head)
                return page()
            if match := names.PATH.fullmatch(path):
                if head.method != "POST":
                    return self._method(request_id, "POST")
                target = names.parse_function(match[1], query, self._config.account, self._config.region)
                return self._invoke(request_id, head, body, target, client_there)
            if match := names.DEFERRED.fullmatch(path):
                return self._record(request_id, head, body, match[1])
            if match := names.OPERATION.fullmatch(path):
                return self._operation(request_id, head, body, unquote(match[1]), query)
            if match := names.USAGE.fullmatch(path):
                return self._usage(request_id, head, body, unquote(match[1]))
            raise InvokeError(404, "ResourceNotFoundException", f"No such path: {path[:200]}")
        except InvokeError as error:
            return self.error(request_id, error)

    def error(self, request_id: str, error: InvokeError) -> Response:
        """An error as the API words it."""
        return Response(
            error.status,
            (
                ("Content-Type", "application/json"),
                ("x-amzn-RequestId", request_id),
                ("x-amzn-ErrorType", error.kind),
                *error.headers,
            ),
            error.body(),
        )

    def malformed(self, error: HttpError) -> Response:
        """The answer to bytes that are no acceptable request."""
        kind = {413: "RequestTooLargeException", 408: "RequestTimeoutException"}.get(
            error.status, "InvalidRequestContentException"
        )
        return self.error(response_id(), InvokeError(error.status, kind, error.text))

    def body_limit(self, head: RequestHead) -> int:
        """Bytes of body that may come with a request, known from its head."""
        limits = self._config.limits
        is_event = head.headers.get("x-amz-invocation-type") == "Event"
        return limits.event_payload_bytes if is_event else limits.payload_bytes

    def _method(self, request_id: str, allowed: str) -> Response:
        answer = self.error(request_id, InvokeError(405, "MethodNotAllowedException", f"Use {allowed}."))
        return Response(answer.status, (*answer.headers, ("Allow", allowed)), answer.body)

    def _tenant(self, head: RequestHead, body: bytes) -> str:
        """The tenant's name: by signature where keys are set, else as the key id claims, else the first."""
        access = self.access
        if access.secrets:
            key = sigv4.verify(
                head.method,
                head.target,
                head.headers,
                body,
                access.secrets,
                self._wall(),
                self._config.clock_skew_s,
            )
            return access.tenant_by_key[key]
        claimed = sigv4.credential(head.headers) if "authorization" in head.headers else None
        if claimed is not None and claimed.key in self._tenants:
            return claimed.key
        return self._config.tenants[0].name

    def _invoke(
        self,
        request_id: str,
        head: RequestHead,
        body: bytes,
        target: names.Target,
        client_there: Callable[[], bool],
    ) -> Response:
        tenant = self._tenant(head, body)
        known = self._known(target)
        kind = _choice(head, "x-amz-invocation-type", "invocationType", KINDS)
        log_type = _choice(head, "x-amz-log-type", "logType", LOG_TYPES)
        payload = self._payload(body)
        context = self._context(head.headers.get("x-amz-client-context"))
        token = _token(head)
        if kind == "DryRun":
            version = ("X-Amz-Executed-Version", target.qualifier)
            return Response(204, (("x-amzn-RequestId", request_id), version))
        wants_log = log_type == "Tail"
        until_s = self._clock() + known.deadline_s - self._config.answer_margin_s * 0.2
        until_s = min(until_s, _until(head))
        invocation = Invocation(
            request_id, tenant, known, target.qualifier, payload, context, token, until_s, wants_log
        )

        def here() -> Response:
            return self._perform(invocation, kind, client_there)

        policy = self._caller.policy(invocation)
        if self._forwarder is None or not token or not (policy.requires_slot or kind == "Event"):
            return here()
        if FORWARDED_HEADER in head.headers:
            try:
                return here()
            except SlotNotHeldError:
                raise misdirected() from None
        digest = invocation.identity(kind).digest()
        is_logged = policy.is_logged or kind == "Event"
        request = ForwardableRequest(
            head, body, digest, until_s, is_logged, lambda: self._caller.unknown(invocation)
        )
        return self._forwarder.execute(request, here)

    def _perform(self, invocation: Invocation, kind: str, client_there: Callable[[], bool]) -> Response:
        """Run a checked call in this process, and note how it ended and how long it took."""
        call_class, note = invocation.known.config.call_class, self.figures.note
        perform = self._caller.defer if kind == "Event" else self._caller.call
        began_s = self._clock()
        try:
            answer = perform(invocation, client_there)
        except InvokeError as error:
            if ending := ending_of_error(error):
                note(call_class, ending, 0.0)
            raise
        note(call_class, ending_of(answer), self._clock() - began_s)
        return answer

    def _known(self, target: names.Target) -> ConfiguredFunction:
        known = self._functions.get(target.name)
        if known is None or target.qualifier not in (LATEST, *known.config.qualifiers):
            qualifier = "" if target.qualifier == LATEST else target.qualifier
            raise errors.not_found(
                names.arn(self._config.region, self._config.account, target.name, qualifier)
            )
        return known

    def _payload(self, body: bytes) -> bytes:
        if not body:
            return b"{}"
        try:
            self._validate(body)
            body.decode()
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise errors.bad_content(f"Could not parse request body into json: {error}") from error
        except RecursionError as error:
            raise errors.bad_content("Could not parse request body into json: nested too deeply") from error
        return body

    def _context(self, text: str) -> str:
        if not text:
            return ""
        if len(text) > MAX_CONTEXT_BYTES:
            raise errors.bad_content(f"Client context must be no more than {MAX_CONTEXT_BYTES} bytes.")
        try:
            self._validate(base64.b64decode(text, validate=True))
        except (binascii.Error, ValueError) as error:
            raise errors.bad_content("Client context must be a valid Base64-encoded JSON object.") from error
        return text

    # ---- other pages

    def _elsewhere(self, index: int, head: RequestHead) -> Response:
        """A GET that another process of this gateway has to answer; its signature is checked there."""
        fields = _passed_on(head.headers.items, ("host", "authorization"))
        answer = None
        if index < self._members.count and FORWARDED_HEADER not in head.headers:
            answer = self._members.request_from(index, head.target, fields)
        if answer is None:
            raise errors.service(f"Process {index} of this gateway does not answer now.", 503)
        found, body = answer
        return Response(found.status, tuple(_passed_on(found.headers.items, ("content-type",))), body)

    def _record(self, request_id: str, head: RequestHead, body: bytes, wanted: str) -> Response:
        """Our extension: what became of a deferred call, for the tenant that made it."""
        if head.method != "GET":
            return self._method(request_id, "GET")
        tenant = self._tenant(head, body)
        found = self._deferred.report(wanted) if self._deferred is not None else None
        owner = self._members.other_owner(wanted)
        if found is None and owner is not None and FORWARDED_HEADER not in head.headers:
            return self._elsewhere(owner, head)
        if found is None or (self.access.secrets and found.tenant != tenant):
            raise InvokeError(404, "ResourceNotFoundException", f"No deferred call has the id {wanted[:64]}")
        headers = (("Content-Type", "application/json"), ("x-amzn-RequestId", request_id))
        if found.invocation_record is not None:
            return Response(200, headers, found.invocation_record)
        state = {"requestId": wanted, "state": found.status.value, "attempts": found.attempts}
        return Response(202, headers, msgspec.json.encode(state))

    def _operation(
        self, request_id: str, head: RequestHead, body: bytes, token: str, query: Mapping[str, str]
    ) -> Response:
        """Our extension: what is known of an operation of the asking tenant's."""
        if head.method != "GET":
            return self._method(request_id, "GET")
        tenant = self._tenant(head, body)
        if self._operations is None:
            raise InvokeError(404, "ResourceNotFoundException", "This gateway remembers no operations.")
        function, qualifier = query.get("function", ""), query.get("qualifier", LATEST)
        functions = [function] if function else self._functions.exact_names()
        asked = StatusQuery(tenant, token, functions, qualifier)
        found = find_operations(self._operations, asked, self._clock())
        if not found:
            raise InvokeError(404, "ResourceNotFoundException", f"No operation is named {token[:128]}")
        headers = (("Content-Type", "application/json"), ("x-amzn-RequestId", request_id))
        return Response(200, headers, msgspec.json.encode(found))

    def _usage(self, request_id: str, head: RequestHead, body: bytes, wanted: str) -> Response:
        """Our extension: what a tenant is charged, for its own key only, over all processes on this
        address.
        """
        if head.method != "GET":
            return self._method(request_id, "GET")
        tenant = self._tenant(head, body)
        if self._account is None:
            raise InvokeError(404, "ResourceNotFoundException", "This gateway does not meter.")
        if tenant != wanted:
            raise InvokeError(403, "AccessDeniedException", f"The key is not {wanted[:140]}'s.")
        try:
            found = usage.statement(self._account, self._limits, tenant, self._clock())
        except (RunDamagedError, OSError) as error:
            raise errors.service(f"Usage can't be read now: {error}") from error
        if FORWARDED_HEADER not in head.headers:
            fields = _passed_on(head.headers.items, ("host", "authorization"))

            def ask(index: int) -> bytes | None:
                answer = self._members.request_from(index, head.target, fields)
                return answer[1] if answer is not None and answer[0].status == 200 else None

            found = usage.gather(found, self._members.count, self._members.index, ask)
        headers = (("Content-Type", "application/json"), ("x-amzn-RequestId", request_id))
        return Response(200, headers, msgspec.json.encode(found))


def _choice(head: RequestHead, header: str, parameter: str, choices: tuple[str, ...]) -> str:
    """A header's value, the first choice where it is missing; InvokeError where it is none of them."""
    value = head.headers.get(header, choices[0])
    if value not in choices:
        listed = ", ".join(choices)
        raise errors.bad_parameter(f"Value '{value[:64]}' at '{parameter}' is none of {listed}.")
    return value


def _token(head: RequestHead) -> str:
    """The operation's name, empty where the client gave none; InvokeError where it can't be one."""
    try:
        return idempotency_key_of(head.headers)
    except IdempotencyKeyTooLongError as error:
        raise errors.bad_parameter(str(error)) from error


def _until(head: RequestHead) -> float:
    """Until when a send that another process passed on may be begun; what is no number says nothing."""
    if FORWARDED_HEADER not in head.headers:
        return math.inf
    try:
        return float(head.headers.get(DEADLINE_HEADER))
    except ValueError:
        return math.inf


def _passed_on(fields: list[tuple[str, str]], names: tuple[str, ...]) -> list[tuple[str, str]]:
    return [(name, value) for name, value in fields if name in names or name.startswith("x-amz")]


__all__ = ["Access", "App", "ClientDisconnectedError", "Page", "Response", "response_id"]
