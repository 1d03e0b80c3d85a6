"""Tests of the Invoke API with boto3, with a plain HTTP client and with raw requests."""

from __future__ import annotations

import base64
import json
import pathlib
import time
from collections.abc import Iterator
from typing import Any

import boto3
import pytest
from botocore.config import Config as BotoConfig
from botocore.exceptions import ClientError

from saffronstack.client import Client
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.http1.messages import Headers
from saffronstack.invoke import names, sigv4
from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.metrics import peak_load_ratio
from saffronstack.upstream.http.dispatcher import WorkerTraffic
from tests.support.stack import AMPLE_DEADLINE_S, Stack, eventually, read_all, running_gateway

KEYS = [
    {"id": "AKIDCORNER", "secret": "corner-secret", "tenant": "corner-books"},
    {"id": "AKIDCAMPUS", "secret": "campus-secret", "tenant": "campus-app"},
]


def lambda_client(address: str, key: str = "corner-books", secret: str = "any", retries: int = 0) -> Any:
    return boto3.client(
        "lambda",
        endpoint_url=f"http://{address}",
        region_name="us-east-1",
        aws_access_key_id=key,
        aws_secret_access_key=secret,
        config=BotoConfig(retries={"mode": "standard", "total_max_attempts": retries + 1}, read_timeout=10),
    )


@pytest.fixture(scope="module")
def stack(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Stack]:
    with running_gateway(2, tmp_path_factory.mktemp("ledger"), deadline_s=AMPLE_DEADLINE_S) as running_stack:
        yield running_stack


@pytest.fixture(scope="module")
def authenticated_stack(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Stack]:
    with running_gateway(
        1, tmp_path_factory.mktemp("ledger"), keys=KEYS, deadline_s=AMPLE_DEADLINE_S
    ) as running_stack:
        yield running_stack


def test_boto3_invokes_a_function_and_gets_its_response(stack: Stack) -> None:
    response = lambda_client(stack.address).invoke(FunctionName="identify-copy", Payload=b'{"isbn": "1"}')
    assert response["StatusCode"] == 200
    assert response["ExecutedVersion"] == "$LATEST"
    assert "FunctionError" not in response
    content = json.loads(response["Payload"].read())
    assert content["input"] == {"isbn": "1"}
    assert content["run"]


@pytest.mark.parametrize(
    "name",
    [
        "identify-copy",
        "identify-copy:$LATEST",
        "function:identify-copy",
        "000000000000:identify-copy",
        "000000000000:function:identify-copy",
        "arn:aws:lambda:us-east-1:000000000000:function:identify-copy",
    ],
)
def test_every_form_of_a_function_name_is_accepted(stack: Stack, name: str) -> None:
    assert lambda_client(stack.address).invoke(FunctionName=name)["StatusCode"] == 200


def test_an_empty_payload_is_an_empty_object(stack: Stack) -> None:
    content = json.loads(lambda_client(stack.address).invoke(FunctionName="identify-copy")["Payload"].read())
    assert content["input"] == {}


def test_dry_run_runs_nothing(stack: Stack) -> None:
    before = stack.run_count()
    response = lambda_client(stack.address).invoke(FunctionName="record-sale", InvocationType="DryRun")
    assert response["StatusCode"] == 204
    assert stack.run_count() == before


def test_event_is_accepted_and_ends_in_one_record(stack: Stack) -> None:
    response = lambda_client(stack.address).invoke(
        FunctionName="record-sale", InvocationType="Event", Payload=b'{"n": 1}'
    )
    assert response["StatusCode"] == 202
    assert response["Payload"].read() == b""
    record = stack.final_record(response["ResponseMetadata"]["RequestId"])
    assert record["version"] == "1.0"
    assert record["requestContext"]["condition"] == "Success"
    assert record["requestContext"]["functionArn"] == (
        "arn:aws:lambda:us-east-1:000000000000:function:record-sale:$LATEST"
    )
    assert record["requestPayload"] == {"n": 1}
    assert record["responseContext"] == {"statusCode": 200, "executedVersion": "$LATEST"}
    assert record["responsePayload"]["input"] == {"n": 1}


@pytest.mark.parametrize(
    ("call", "status", "kind"),
    [
        ({"FunctionName": "nowhere"}, 404, "ResourceNotFoundException"),
        ({"FunctionName": "identify-copy", "Qualifier": "7"}, 404, "ResourceNotFoundException"),
        ({"FunctionName": "identify-copy:1", "Qualifier": "2"}, 400, "InvalidParameterValueException"),
        (
            {"FunctionName": "arn:aws:lambda:eu-west-1:000000000000:function:identify-copy"},
            404,
            "ResourceNotFoundException",
        ),
        ({"FunctionName": "identify-copy", "Payload": b"{"}, 400, "InvalidRequestContentException"),
        ({"FunctionName": "identify-copy", "Payload": b'"\xff"'}, 400, "InvalidRequestContentException"),
        ({"FunctionName": "identify-copy", "ClientContext": "!!"}, 400, "InvalidRequestContentException"),
        (
            {
                "FunctionName": "identify-copy",
                "InvocationType": "Event",
                "Payload": b"[" + b"1," * 600_000 + b"1]",
            },
            413,
            "RequestTooLargeException",
        ),
        (
            {"FunctionName": "identify-copy", "Payload": b'"' + b"x" * (6 * 1024 * 1024) + b'"'},
            413,
            "RequestTooLargeException",
        ),
    ],
)
def test_errors_are_those_of_the_api(stack: Stack, call: dict[str, Any], status: int, kind: str) -> None:
    client = lambda_client(stack.address)
    with pytest.raises(ClientError) as caught:
        client.invoke(**call)
    assert caught.value.response["ResponseMetadata"]["HTTPStatusCode"] == status
    assert caught.value.response["Error"]["Code"] == kind
    assert caught.value.response["ResponseMetadata"]["HTTPHeaders"]["x-amzn-errortype"] == kind
    assert client.invoke(FunctionName="identify-copy")["StatusCode"] == 200


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        (("X-Amz-Invocation-Type", "Later"), 400),
        (("X-Amz-Log-Type", "Head"), 400),
        (("Idempotency-Key", "k" * 200), 400),
    ],
)
def test_parameters_are_checked(stack: Stack, headers: tuple[str, str], status: int) -> None:
    client = stack.client()
    response = client.request("POST", "/2015-03-31/functions/identify-copy/invocations", b"{}", (headers,))
    assert response.status == status
    assert response.headers.get("x-amzn-errortype") == "InvalidParameterValueException"
    client.close()


def test_unknown_paths_and_methods_are_rejected(stack: Stack) -> None:
    client = stack.client()
    assert client.request("GET", "/2015-03-31/functions/identify-copy/invocations").status == 405
    assert client.request("GET", "/nowhere").status == 404
    assert client.request("POST", "/deferred/x").status == 405
    assert client.request("GET", "/deferred/x").status == 404
    assert client.request("POST", "/2015-03-31/functions/identify-copy/invocations?a").status == 400
    assert client.request("GET", "/healthz").body == b"ok\n"
    client.close()


def test_a_log_tail_is_returned_only_on_request(stack: Stack) -> None:
    context = base64.b64encode(b'{"custom": {}}').decode()
    client = lambda_client(stack.address)
    response = client.invoke(FunctionName="identify-copy", ClientContext=context, LogType="Tail")
    assert b"END RequestId" in base64.b64decode(response["LogResult"])
    assert "LogResult" not in client.invoke(FunctionName="identify-copy")


def test_metrics_are_in_prometheus_text(stack: Stack) -> None:
    from prometheus_client.parser import text_string_to_metric_families

    stack.call("identify-copy")
    text = stack.get("/metrics").body.decode()
    families = {family.name: family for family in text_string_to_metric_families(text)}
    served = [s.value for s in families["saffronstack_calls_ended"].samples if s.labels["ending"] == "served"]
    assert served[0] >= 1
    assert families["saffronstack_ledger_failing"].samples[0].value == 0
    attempts = {s.labels["worker"]: s.value for s in families["saffronstack_worker_attempts"].samples}
    assert sum(attempts.values()) >= 1
    assert set(attempts) == {w.name for w in stack.fleet.workers}
    assert {s.value for s in families["saffronstack_worker_out"].samples} == {0.0}
    assert families["saffronstack_worker_spread"].samples[0].value == 0.0


def test_peak_load_ratio_is_relative_to_worker_capacity() -> None:
    small, large = WorkerSpec(1, "s", "h", 1, capacity=1.0), WorkerSpec(2, "l", "h", 2, capacity=3.0)
    draining_worker = WorkerSpec(3, "d", "h", 3, is_draining=True, capacity=4.0)
    assert peak_load_ratio([]) == 0.0
    assert peak_load_ratio([WorkerTraffic(small, 9, 0), WorkerTraffic(large, 9, 0)]) == 0.0
    # The attempts in flight are proportional to the capacities.
    assert peak_load_ratio([WorkerTraffic(small, 9, 1), WorkerTraffic(large, 9, 3)]) == 1.0
    draining = WorkerTraffic(draining_worker, 9, 40)
    assert peak_load_ratio([WorkerTraffic(small, 9, 2), WorkerTraffic(large, 9, 2), draining]) == 2.0


# ---- retries by an SDK


def test_boto3_does_not_retry_an_unsafe_call_whose_response_was_lost(tmp_path: pathlib.Path) -> None:
    with running_gateway(2, tmp_path) as stack:
        for worker in stack.fleet.workers:
            worker.faults.lose_answers = 1.0
        response = lambda_client(stack.address, retries=4).invoke(FunctionName="record-sale", Payload=b"{}")
        assert response["StatusCode"] == 200
        assert response["FunctionError"] == "Unhandled"
        assert json.loads(response["Payload"].read())["errorType"] == "Saffronstack.OutcomeUnknown"
        time.sleep(0.3)
        assert stack.run_count("record-sale") == 1


def test_a_rejection_is_429_with_retry_after_and_boto3_may_retry_it(tmp_path: pathlib.Path) -> None:
    with running_gateway(1, tmp_path) as stack:
        worker = stack.fleet.workers[0]
        worker.stop()
        rejection = stack.call("record-sale")
        assert rejection.status == 429
        assert int(rejection.headers.get("retry-after")) >= 1
        assert json.loads(rejection.body)["Reason"] == "ConcurrentInvocationLimitExceeded"
        client = lambda_client(stack.address, retries=8)
        worker.start()
        assert client.invoke(FunctionName="record-sale")["StatusCode"] == 200
        assert stack.run_count("record-sale") == 1


# ---- signatures


def test_boto3_signatures_are_accepted_and_wrong_keys_rejected(authenticated_stack: Stack) -> None:
    client = lambda_client(authenticated_stack.address, "AKIDCORNER", "corner-secret")
    assert (
        client.invoke(
            FunctionName="arn:aws:lambda:us-east-1:000000000000:function:identify-copy",
            Qualifier="$LATEST",
            Payload=b'{"a": "\xc3\xa9"}',
        )["StatusCode"]
        == 200
    )
    for key, secret, code in (
        ("AKIDCORNER", "wrong-secret", "InvalidSignatureException"),
        ("AKIDNOBODY", "corner-secret", "UnrecognizedClientException"),
    ):
        with pytest.raises(ClientError) as caught:
            lambda_client(authenticated_stack.address, key, secret).invoke(FunctionName="identify-copy")
        assert caught.value.response["Error"]["Code"] == code
        assert caught.value.response["ResponseMetadata"]["HTTPStatusCode"] == 403
    assert (
        authenticated_stack.call("identify-copy").headers.get("x-amzn-errortype")
        == "MissingAuthenticationTokenException"
    )


def test_an_invocation_record_is_visible_only_to_its_tenant(authenticated_stack: Stack) -> None:
    client = lambda_client(authenticated_stack.address, "AKIDCORNER", "corner-secret")
    request_id = client.invoke(FunctionName="identify-copy", InvocationType="Event")["ResponseMetadata"][
        "RequestId"
    ]
    own = Client(authenticated_stack.address, 5, "AKIDCORNER", "corner-secret")
    other = Client(authenticated_stack.address, 5, "AKIDCAMPUS", "campus-secret")
    eventually(lambda: own.request("GET", f"/deferred/{request_id}").status == 200)
    assert other.request("GET", f"/deferred/{request_id}").status == 404
    assert authenticated_stack.get(f"/deferred/{request_id}").status == 403
    own.close()
    other.close()


SECRET, TIMESTAMP, NOW = "wJalrXUtnFEMI/K7MDENG+bPxRfiCYEXAMPLEKEY", "20150830T123600Z", 1440938160.0


def signed_headers(timestamp: str = TIMESTAMP, **overrides: str) -> Headers:
    credential = sigv4.Credential(
        "AKIDEXAMPLE",
        timestamp[:8],
        "us-east-1",
        overrides.get("service", "lambda"),
        ("host", "x-amz-date"),
        "",
    )
    fields = Headers([("host", "h"), ("x-amz-date", timestamp)])
    canonical = sigv4.canonical_request(
        "POST",
        "/p",
        fields,
        credential.signed_headers,
        "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
    )
    signature = overrides.get("signature") or sigv4.sign(SECRET, credential, timestamp, canonical)
    authorization = (
        "AWS4-HMAC-SHA256 "
        f"Credential=AKIDEXAMPLE/{credential.date}/us-east-1/{credential.service}/aws4_request, "
        f"SignedHeaders=host;x-amz-date, Signature={signature}"
    )
    return Headers([*fields.items, ("authorization", authorization)])


def verify(
    fields: Headers, now: float = NOW, body: bytes = b"", target: str = "/p", method: str = "POST"
) -> str:
    return sigv4.verify(method, target, fields, body, {"AKIDEXAMPLE": SECRET}, now, 300)


def test_a_valid_signature_is_accepted_and_altered_ones_are_rejected() -> None:
    assert verify(signed_headers()) == "AKIDEXAMPLE"
    rejected: list[dict[str, Any]] = [
        {"fields": signed_headers(), "body": b"x"},
        {"fields": signed_headers(), "target": "/q"},
        {"fields": signed_headers(), "target": "/p?a=1"},
        {"fields": signed_headers(), "method": "PUT"},
        {"fields": signed_headers(), "now": NOW + 301},
        {"fields": signed_headers(), "now": NOW - 301},
        {"fields": signed_headers(service="s3")},
        {"fields": signed_headers(signature="0" * 64)},
        {"fields": Headers([*signed_headers().items, ("authorization", "x")])},
        {"fields": Headers([("host", "h"), ("authorization", "Basic abc")])},
        {"fields": Headers([item for item in signed_headers().items if item[0] != "x-amz-date"])},
        {"fields": Headers([*signed_headers().items, ("x-amz-date", TIMESTAMP)])},
        {"fields": Headers([])},
    ]
    for case in rejected:
        with pytest.raises(InvokeError) as caught:
            verify(**case)
        assert caught.value.status == 403, case


@pytest.mark.parametrize(
    ("target", "path"), [("/a//b/../c", "/a/c"), ("/", "/"), ("/a%3Ab", "/a%253Ab"), ("/a/", "/a/")]
)
def test_paths_are_put_in_canonical_form(target: str, path: str) -> None:
    assert sigv4.canonical_request("GET", target, Headers([]), (), "").split("\n")[1] == path


def test_the_query_is_sorted() -> None:
    lines = sigv4.canonical_request("GET", "/?b=2&a=%20&a=&B=1", Headers([]), (), "").split("\n")
    assert lines[2] == "B=1&a=&a=%20&b=2"


@pytest.mark.parametrize("name", ["", "a b", "x" * 200, "arn:aws:s3:::b", "a:b:c:d", "../x"])
def test_malformed_function_names_are_rejected(name: str) -> None:
    with pytest.raises(InvokeError):
        names.parse_function(name, {}, "000000000000", "us-east-1")


# ---- malformed requests: an error response, a closed connection, and a gateway that keeps serving

HEAD = b"POST /2015-03-31/functions/identify-copy/invocations HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", 400),
        (HEAD + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}", 400),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (HEAD + b"X : y\r\n\r\n", 400),
        (HEAD.replace(b"\r\n", b"\n") + b"\n", 400),
        (HEAD + b"A: " + b"x" * 10_000 + b"\r\n\r\n", 431),
        (HEAD + b"Content-Length: 99999999\r\n\r\n", 413),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\x00\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"GET / HTTP/3.0\r\n\r\n", 400),
        (HEAD + b"X-Amz-Invocation-Type: Event\r\nContent-Length: 2000000\r\n\r\n", 413),
    ],
)
def test_malformed_requests_get_an_error_and_a_closed_connection(
    stack: Stack, data: bytes, status: int
) -> None:
    sock = stack.connect()
    sock.sendall(data)
    response = read_all(sock)
    assert response.startswith(b"HTTP/1.1 %d " % status), response[:200]
    assert b"Connection: close" in response
    sock.close()
    assert stack.call("identify-copy").status == 200


def test_100_continue_comes_before_the_body(stack: Stack) -> None:
    sock = stack.connect()
    sock.sendall(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n\r\n")
    assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
    sock.sendall(b"{}")
    assert read_all(sock).startswith(b"HTTP/1.1 200 OK")
    sock.close()
