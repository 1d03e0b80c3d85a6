"""Tests of metering: allocations are exact, and each record counts once despite losses and kills."""

from __future__ import annotations

import json
import pathlib
import random
import shutil
import threading
import time
from collections import defaultdict
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from saffronstack import config as configs
from saffronstack.cli.main import main
from saffronstack.metering.account import Account
from saffronstack.metering.cost_allocation import Phase, allocate, total_occupancy
from saffronstack.metering.interval_set import IntervalSet
from saffronstack.metering.ledger_entries import (
    AnyLedgerEntry,
    CallCharge,
    IncarnationEnded,
    LedgerStarted,
    ProvisionalCharge,
    ProvisionalChargeVoided,
    RecordConfirmed,
    RecordReceived,
    RecordRelinquished,
    UsageTotal,
    decode_entry,
    encode_entry,
    incarnation_key,
)
from saffronstack.metering.merged_accounts import merge_accounts
from saffronstack.metering.record_validation import find_rejection_reason
from saffronstack.metering.usage_log import open_usage_log, read_usage_log
from saffronstack.metering.worker_messages import CallReference, UsageRecord, UsageRequest
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from saffronstack.standin.usage import Outbox
from tests.support.reckoning import recorded_memory_use
from tests.support.stack import Stack, eventually, running_gateway

call_reference = st.builds(
    CallReference, st.uuids().map(str), st.sampled_from(["a", "b", "c"]), st.just("lookup")
)
call_references = st.lists(call_reference, max_size=7, unique_by=lambda ref: ref.request_id).map(tuple)
records = st.builds(
    UsageRecord,
    st.sampled_from(["w1", "w2"]),
    st.sampled_from(["i", "j"]),
    st.integers(1, 40),
    st.just("f"),
    st.integers(1, 10_000),
    st.integers(0, 1000),
    st.integers(1001, 9999),
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(0, 3),
    call_references,
    call_references,
)


def usage(
    sequence_number: int = 1,
    worker: str = "w1",
    incarnation: str = "i",
    running_instances: int = 1,
    **changes: Any,
) -> UsageRecord:
    base: dict[str, Any] = {
        "function": "f",
        "memory_kib": 1000,
        "start_us": 0,
        "end_us": 1000,
        "loading_instances": 0,
        "idle_instances": 0,
        "waiting_calls": (),
        "running_calls": (CallReference("id-1", "a", "c"),),
    }
    return UsageRecord(
        worker=worker,
        incarnation=incarnation,
        sequence_number=sequence_number,
        running_instances=running_instances,
        **{**base, **changes},
    )


@given(records)
@settings(derandomize=True, max_examples=300)
def test_allocations_sum_up_to_the_occupancy(record: UsageRecord) -> None:
    sums = dict.fromkeys(Phase, 0)
    for share in allocate(record):
        assert share.amount > 0
        sums[share.phase] += share.amount
    assert tuple(sums.values()) == total_occupancy(record)
    for phase, calls in ((Phase.LOAD, record.waiting_calls), (Phase.RUN, record.running_calls)):
        parts = [share.amount for share in allocate(record) if share.phase is phase and share.call.request_id]
        assert not parts or (max(parts) - min(parts) <= 1 and len(calls) >= len(parts))


def test_allocation_of_overlapping_calls() -> None:
    """Three calls of two tenants overlap on an instance of 1,000 KiB; two of them wait for a load."""
    a, b, c = (
        CallReference("1", "corner", "x"),
        CallReference("2", "campus", "x"),
        CallReference("3", "campus", "x"),
    )
    record = usage(
        end_us=10, loading_instances=1, running_instances=1, waiting_calls=(a, b), running_calls=(a, b, c)
    )
    assert [(s.call.request_id, s.phase, s.amount) for s in allocate(record)] == [
        ("1", Phase.LOAD, 5000),
        ("2", Phase.LOAD, 5000),
        ("1", Phase.RUN, 3334),
        ("2", Phase.RUN, 3333),
        ("3", Phase.RUN, 3333),
    ]


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(0, 9))))
@settings(derandomize=True, max_examples=300)
def test_an_interval_set_contains_what_was_added(spans: list[tuple[int, int]]) -> None:
    intervals, plain = IntervalSet(), set()
    for low, length in spans:
        intervals.add(low, low + length)
        plain |= set(range(low, low + length + 1))
    assert [n for n in range(80) if n in intervals] == sorted(plain)
    assert all(a[1] + 1 < b[0] for a, b in zip(intervals.intervals, intervals.intervals[1:], strict=False))


@given(
    st.lists(st.tuples(records, st.sampled_from(["received", "again", "confirmed", "given"])), max_size=40)
)
@settings(derandomize=True, max_examples=200)
def test_each_record_counts_once_and_a_snapshot_restores_the_state(
    steps: list[tuple[UsageRecord, str]],
) -> None:
    account = Account("g")
    first: dict[tuple[str, str, int], UsageRecord] = {}
    for record, step in steps:
        key = record.worker, record.incarnation, record.sequence_number
        if step in ("received", "again") and key not in first:
            first[key] = record
            account.apply(RecordReceived(record, 0.0))
        if step == "again":
            account.apply(RecordReceived(record, 5.0))
        if step == "confirmed":
            account.apply(RecordConfirmed(*key))
        if step == "given" and key in account.unconfirmed:
            account.apply(RecordRelinquished(*key))
            del first[key]
    held: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
    for record in first.values():
        for column, amount in enumerate(total_occupancy(record)):
            held[record.worker][column] += amount
    assert {w: v for w, v in account.usage_totals.occupancy_by_worker.items() if any(v)} == {
        w: v for w, v in held.items() if any(v)
    }
    assert account.find_imbalances() == []
    copy = Account()
    for entry in account.snapshot():
        copy.apply(decode_entry(encode_entry(entry)))
    assert copy.charges_by_tenant() == {
        t: v for t, v in account.charges_by_tenant().items() if v or t in copy.charges_by_tenant()
    }
    assert copy.unconfirmed == account.unconfirmed
    assert {k: r.intervals for k, r in copy.records.confirmed.items()} == {
        k: r.intervals for k, r in account.records.confirmed.items()
    }


def test_a_lost_call_is_charged_less_its_records_until_its_worker_reports_its_end() -> None:
    charge = ProvisionalCharge("w1", "i", CallReference("id-1", "a", "c"), "f", 1_500_000, 0.0)
    account = Account("g")
    account.apply(charge)
    assert account.charges_by_tenant() == {"a": 1_500_000}
    account.apply(RecordReceived(usage(), 0.0))
    assert account.charges_by_tenant() == {"a": 1_500_000}  # a record accounts for 1,000,000 of it
    account.apply(RecordReceived(usage(2), 0.0))
    assert account.charges_by_tenant() == {"a": 2_000_000}
    account.apply(ProvisionalChargeVoided("w1", "id-1"))
    account.apply(RecordRelinquished("w1", "i", 2))
    assert account.charges_by_tenant() == {"a": 1_000_000}
    account.apply(ProvisionalCharge("w1", "i", CallReference("id-3", "b", "c"), "f", 50, 0.0))
    account.apply(charge)
    account.apply(IncarnationEnded("w1", "other"))
    assert len(account.provisional) == 2
    copy = Account()
    for entry in account.snapshot():
        copy.apply(entry)
    for each in (account, copy):
        each.apply(IncarnationEnded("w1", "i"))  # what no record accounts for becomes an estimate
        assert each.provisional == {}
        assert each.charges_by_tenant() == {"a": 1_500_000, "b": 50}
        assert sum(amount for _, amount in each.charges.estimated_charges()) == 500_050
        each.apply(RecordReceived(usage(7), 0.0))  # a late record reduces the estimate
        assert each.charges_by_tenant() == {"a": 2_000_000, "b": 50}


@pytest.mark.parametrize("ends_again", [False, True])
@pytest.mark.parametrize("second_amount", [1_000_000, 1_500_000, 2_000_000])
def test_a_call_that_is_lost_again_after_its_incarnation_ended_is_charged_once(
    second_amount: int, ends_again: bool
) -> None:
    first = ProvisionalCharge("w1", "i", CallReference("id-1", "a", "c"), "f", 1_500_000, 0.0)
    account = Account("g")
    for entry in (first, IncarnationEnded("w1", "i"), structs.replace(first, amount=second_amount)):
        account.apply(entry)
    if ends_again:
        account.apply(IncarnationEnded("w1", "i"))
    wanted = max(first.amount, second_amount) if ends_again else first.amount
    assert account.charges_by_tenant() == {"a": wanted}
    assert merge_accounts([account]).charges_by_tenant() == {"a": wanted}


def test_a_call_that_is_retried_in_a_workers_next_incarnation_is_charged_in_both() -> None:
    """Records of the next incarnation must not reduce the estimate of the last one.

    When they did, a tenant was charged 13.9 MB s too little.
    """
    account = Account("g")
    account.apply(ProvisionalCharge("w1", "i", CallReference("id-1", "a", "c"), "f", 1_500_000, 0.0))
    account.apply(RecordReceived(usage(), 0.0))  # 1,000,000 in the first incarnation
    account.apply(IncarnationEnded("w1", "i"))
    account.apply(RecordReceived(structs.replace(usage(1), incarnation="j"), 0.0))  # the retry
    # The response to the retry is lost too.
    account.apply(ProvisionalCharge("w1", "j", CallReference("id-1", "a", "c"), "f", 1_200_000, 0.0))
    copy = Account()
    for entry in account.snapshot():
        copy.apply(decode_entry(encode_entry(entry)))
    for each in (account, copy):
        assert each.charges_by_tenant() == {"a": 2_700_000}
        assert merge_accounts([each]).charges_by_tenant() == {"a": 2_700_000}
        # The records of the second incarnation are complete.
        each.apply(ProvisionalChargeVoided(incarnation_key("w1", "j"), "id-1"))
        assert each.charges_by_tenant() == {"a": 2_500_000}
        each.apply(IncarnationEnded("w1", "j"))
        assert each.charges_by_tenant() == {"a": 2_500_000}


def test_of_two_losses_of_a_call_in_one_incarnation_the_longer_is_charged() -> None:
    """A dying worker resets a connection. The kernel still accepts another one, which loses the retry."""
    account = Account("g")
    losses = [
        ProvisionalCharge("w1", "i", CallReference("id-1", "a", "c"), "f", n, 0.0)
        for n in (1_500_000, 20_000)
    ]
    for loss in (*losses, *losses):  # an unacknowledged commit is repeated
        account.apply(loss)
    copy = Account()
    for entry in account.snapshot():
        copy.apply(decode_entry(encode_entry(entry)))
    for each in (account, copy):
        each.apply(IncarnationEnded("w1", "i"))
        assert each.charges_by_tenant() == {"a": 1_500_000}


def test_charges_of_older_logs_without_incarnations_still_count() -> None:
    account = Account("g")
    account.apply(CallCharge("w1", "id-1", 1_000_000))
    account.apply(ProvisionalCharge("w1", "i", CallReference("id-1", "a", "c"), "f", 1_500_000, 0.0))
    assert account.charges_by_tenant() == {"a": 500_000}
    account.apply(IncarnationEnded("w1", "i"))
    assert account.charges_by_tenant() == merge_accounts([account]).charges_by_tenant() == {"a": 500_000}


def test_merging_counts_shared_records_and_repeated_logs_once() -> None:
    one, two = Account("g1"), Account("g2")
    for entry in (
        RecordReceived(usage(1), 0.0),
        RecordReceived(usage(2), 0.0),
        RecordConfirmed("w1", "i", 2),
        ProvisionalCharge("w1", "i", CallReference("id-9", "b", "c"), "f", 9, 0.0),
    ):
        one.apply(entry)
    late = RecordReceived(usage(3, running_calls=(CallReference("id-9", "b", "c"),)), 0.0)
    for entry in (RecordReceived(usage(1), 0.0), RecordConfirmed("w1", "i", 1), late):
        two.apply(entry)
    for accounts in ([one, two], [two, one], [one, two, one]):
        merged = merge_accounts(accounts)
        assert {t: v for t, v in merged.charges_by_tenant().items() if v} == {"a": 2_000_000, "b": 1_000_000}
        assert merged.find_imbalances() == []
    assert "given twice" in merge_accounts([one, one]).notes[0]
    assert one.charges_by_tenant() == {"a": 2_000_000, "b": 9}  # merging does not change an account


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"start_us": -5}, "span"),
        ({"end_us": 0}, "span"),
        ({"end_us": 10**12, "start_us": 0}, "span"),
        ({"start_us": 4_000_000, "end_us": 5_000_000}, "future"),
        ({"running_instances": -1}, "instances"),
        ({"running_instances": 10**9}, "instances"),
        ({"memory_kib": 10**9}, "KiB"),
        ({"memory_kib": 0}, "KiB"),
        ({"sequence_number": 0}, "number"),
        ({"worker": "w2"}, "names"),
        ({"incarnation": "x"}, "names"),
        ({"function": ""}, "no function"),
        ({"function": "f" * 300}, "too long"),
    ],
)
def test_invalid_records_are_rejected(change: dict[str, Any], message: str) -> None:
    assert find_rejection_reason(usage(), "w1", "i", 2_000_000, 4_000_000) == ""
    assert message in find_rejection_reason(
        usage(**{"sequence_number": 1, **change}), "w1", "i", 2_000_000, 4_000_000
    )


def test_an_outbox_gives_each_record_to_one_gateway() -> None:
    outbox = Outbox("w1", "i")
    outbox.add_record("f", 1, 0, 5, (0, 1, 0), (), (CallReference("a", "t", "c"),))
    outbox.end_call("a")
    assert [r.sequence_number for r in outbox.respond(UsageRequest("g1"), 10.0).records] == [1]
    assert outbox.respond(UsageRequest("g2"), 10.5).records == ()
    assert [r.sequence_number for r in outbox.respond(UsageRequest("g2"), 12.0).records] == [1]
    assert outbox.respond(UsageRequest("g2", (("i", 1),), ("a", "b")), 12.0).confirmed == (("i", 1),)
    late = outbox.respond(UsageRequest("g1", (("i", 1), ("old", 1)), ("a", "b")), 20.0)
    assert (late.relinquished, late.confirmed, late.ended_request_ids, late.records) == (
        (("i", 1),),
        (),
        ("a",),
        (),
    )


# ---- the whole path


def metering_settings(tmp_path: pathlib.Path, **changes: Any) -> dict[str, Any]:
    return {"metering": {"directory": str(tmp_path / "usage"), "ask_every_s": 0.1}, **changes}


def nearly_equal(found: dict[str, int], wanted: dict[str, int]) -> bool:
    """Compare amounts by tenant, allowing for rounding by division."""
    found = {tenant: amount for tenant, amount in found.items() if tenant and amount}
    return set(found) == set(wanted) and all(
        abs(found[t] - wanted[t]) <= wanted[t] // 100_000 + 1000 for t in wanted
    )


def is_charged(stack: Stack) -> bool:
    meter = stack.gateway.meter
    assert meter is not None
    account = meter.journal.state
    return not account.provisional and nearly_equal(
        account.charges_by_tenant(), recorded_memory_use(stack.fleet)
    )


@pytest.mark.parametrize("fault", ["none", "lose_answers", "reset_mid_answer", "garbage", "silent_after_run"])
def test_totals_equal_the_workers_records_when_responses_are_lost(tmp_path: pathlib.Path, fault: str) -> None:
    with running_gateway(
        2, profile=Profile(work_s=0.02, load_s=0.05), **metering_settings(tmp_path)
    ) as stack:
        rng = random.Random(7)
        for worker in stack.fleet.workers:
            if fault != "none":
                setattr(worker.faults, fault, 0.4 if fault == "lose_answers" else True)
        threads = []
        for n in range(24):
            function = rng.choice(["identify-copy", "suggest-price", "record-sale", "adjust-setting"])

            def call(function: str = function, tenant: str = ("corner-books", "campus-app")[n % 2]) -> None:
                client = stack.client(tenant=tenant)
                client.invoke(function, b"{}")
                client.close()

            threads.append(threading.Thread(target=call))
            threads[-1].start()
            time.sleep(0.005)
        for thread in threads:
            thread.join(10)
        for worker in stack.fleet.workers:
            worker.faults = type(worker.faults)()
        eventually(lambda: is_charged(stack), 15)
        assert stack.gateway.meter is not None
        assert stack.gateway.meter.journal.state.find_imbalances() == []
        assert stack.gateway.meter.rejected == 0


def test_a_call_of_a_dead_worker_is_charged_by_estimate(tmp_path: pathlib.Path) -> None:
    with running_gateway(1, profile=Profile(work_s=0.3, load_s=0.02), **metering_settings(tmp_path)) as stack:
        worker = stack.fleet.workers[0]
        assert stack.call("suggest-price").status == 200
        meter = stack.gateway.meter
        assert meter is not None
        eventually(lambda: is_charged(stack))
        thread = threading.Thread(target=lambda: stack.call("record-sale"))
        thread.start()
        eventually(lambda: stack.run_count("record-sale") == 1)
        time.sleep(0.1)
        worker.stop()
        thread.join(10)
        eventually(lambda: meter.journal.state.provisional)
        worker.start()
        eventually(lambda: stack.call("suggest-price").status == 200)
        eventually(lambda: not meter.journal.state.provisional)
        account = meter.journal.state
        recorded = sum(sum(amounts[:2]) for key, amounts in account.totals.items() if key[1] == "record-sale")
        estimates = account.charges.estimated_charges()
        estimated = sum(amount for charge, amount in estimates if charge.function == "record-sale")
        assert estimated > 0  # usage without records
        assert recorded + estimated > 0.08 * 1e6 * 128 * 1024


def test_records_that_a_killed_gateway_did_not_commit_go_to_another_gateway(
    tmp_path: pathlib.Path,
) -> None:
    """Records that the log of a killed gateway lacks go to a second gateway. No record counts twice."""
    fleet = StubWorkerFleet(2, lambda n: Profile(work_s=0.01, load_s=0.02))
    with running_gateway(fleet=fleet, **metering_settings(tmp_path / "one")) as stack:
        for _ in range(10):
            stack.call("identify-copy")
        killed_log = tmp_path / "kept"
        shutil.copytree(tmp_path / "one" / "usage", killed_log)  # state of the disk after a kill at this time
        meter = stack.gateway.meter
        assert meter is not None
        meter._poller._send_poll = lambda worker, body, done: None  # the killed gateway sends no more polls
    with running_gateway(fleet=fleet, **metering_settings(tmp_path / "two")) as stack:
        for _ in range(10):
            stack.call("identify-copy")
        time.sleep(1.2)

        def totals_match() -> bool:
            found = merge_accounts(
                read_usage_log(path)[0] for path in (killed_log, tmp_path / "two" / "usage")
            )
            return found.find_imbalances() == [] and nearly_equal(
                found.charges_by_tenant(), recorded_memory_use(fleet)
            )

        eventually(totals_match, 15)
    fleet.stop()


def test_a_usage_log_is_compacted_and_restored(tmp_path: pathlib.Path) -> None:
    journal = open_usage_log(str(tmp_path), 4096)
    entries: list[AnyLedgerEntry] = []
    for n in range(1, 400):
        entries += [
            RecordReceived(usage(n, running_calls=(CallReference(f"id-{n}", "ab"[n % 2], "c"),)), 0.0),
            RecordConfirmed("w1", "i", n),
        ]
    for entry in entries:
        ticket = journal.append(entry)
    assert ticket.done.wait(10)
    name = journal.state.gateway
    sums = journal.state.charges_by_tenant()
    assert journal.close()
    again = open_usage_log(str(tmp_path), 4096)
    assert again.state.gateway == name != ""
    assert again.state.charges_by_tenant() == sums == {"a": 199_000_000, "b": 200_000_000}
    assert again.state.has_record("w1", "i", 77)
    assert again.close()
    assert sum(path.stat().st_size for path in tmp_path.glob("*.seg")) < 20_000
    assert all(path.name.startswith("usage-") for path in tmp_path.glob("*.seg"))


def test_invalid_records_cost_no_valid_ones(tmp_path: pathlib.Path) -> None:
    with running_gateway(1, **metering_settings(tmp_path)) as stack:
        worker = stack.fleet.workers[0]
        stack.call("identify-copy")
        worker.outbox.add_record(
            "identify-copy", 10**9, 0, 1, (0, 1, 0), (), (CallReference("x", "campus-app", "c"),)
        )
        worker.outbox.all_records.pop()
        stack.call("identify-copy")
        meter = stack.gateway.meter
        assert meter is not None
        eventually(lambda: meter.rejected and is_charged(stack))
        meter.on_usage_records(meter._workers.specs["worker-1"], "!!")
        meter.on_usage_records(meter._workers.specs["worker-1"], "AAAA")
        eventually(lambda: meter.rejected >= 3)
        assert stack.call("identify-copy").status == 200


def test_an_unknown_metering_setting_is_rejected() -> None:
    with pytest.raises(configs.ConfigError, match=r"metering\.dir: unknown key; did you mean 'directory'"):
        configs.parse(json.dumps({"metering": {"dir": "x"}}))


def test_the_first_log_entry_names_the_gateway() -> None:
    account = Account()
    account.apply(LedgerStarted("g"))
    assert account.gateway == "g"


def test_the_html_report_escapes_names() -> None:
    from saffronstack.metering.html_report import render_html_report

    account = Account("g")
    name = "<script>$x^$</script>"
    for n in range(30):
        ref = CallReference(f"id-{n}", name if n == 7 else f"t{n}", "c")
        account.apply(RecordReceived(usage(n + 1, running_calls=(ref,), end_us=10**6 * (n + 1)), 86400.0 * n))
    text = render_html_report(merge_accounts([account]), ["<i>a note</i>"])
    assert "<script>" not in text
    assert "<i>" not in text
    assert "&lt;script&gt;" in text
    assert "10 others" in text
    assert "in balance" in text
    assert "Nothing was metered" in render_html_report(merge_accounts([Account("g")]), [])


def test_usage_on_the_command_line(tmp_path: pathlib.Path) -> None:
    directory = str(tmp_path / "log")
    journal = open_usage_log(directory, 1 << 20)
    mb_s: dict[str, Any] = {"memory_kib": 1024, "end_us": 1_000_000}
    journal.append(RecordReceived(usage(1, **mb_s), 0.0))
    journal.append(
        RecordReceived(usage(2, running_calls=(CallReference("id-2", "b", "c"),), **mb_s), 90_000.0),
        RecordConfirmed("w1", "i", 1),
    )
    ticket = journal.append(
        ProvisionalCharge("w1", "i", CallReference("id-3", "b", "c"), "f", 512 * 1_000_000, 90_000.0)
    )
    assert ticket.done.wait(5)
    run = CliRunner().invoke
    shown = run(main, ["usage", "show", directory, directory, "--by", "tenant,day", "--format", "jsonl"])
    assert shown.exit_code == 0
    lines = [json.loads(line) for line in shown.stdout.splitlines() if line.startswith("{")]
    assert [(line["tenant"], line["day"], line["charged_mb_s"]) for line in lines] == [
        ("b", "1970-01-02", 1.5),
        ("a", "1970-01-01", 1.0),
    ]
    assert (
        run(main, ["usage", "show", directory, "--format", "csv"])
        .stdout.splitlines()[0]
        .startswith("tenant,loading")
    )
    assert "charged_gb_h" in run(main, ["usage", "show", directory]).stdout
    assert run(main, ["usage", "show", directory, "--by", "colour"]).exit_code == 2
    assert run(main, ["usage", "show", str(tmp_path / "none")]).exit_code == 2
    one = run(main, ["usage", "show", directory, "--tenant", "b", "--format", "csv"]).stdout
    assert [line.split(",")[0] for line in one.splitlines()] == ["tenant", "b"]
    page = tmp_path / "usage.html"
    assert run(main, ["usage", "report", directory, "--output", str(page)]).exit_code == 0
    assert page.read_text().count("<svg") == 3
    assert "2.5 MB s charged" in page.read_text()
    assert run(main, ["usage", "report", directory, "--output", str(tmp_path / "no" / "dir")]).exit_code == 2
    good = run(main, ["usage", "verify", directory])
    assert good.exit_code == 0, good.output
    assert "1 records confirmed, 1 not yet, 1 provisional charges, 1 workers: in balance" in good.output
    assert journal.close()
    unbalanced = open_usage_log(directory, 1 << 20)
    assert unbalanced.append(UsageTotal("a", "f", "c", "w1", 0, 0, 5, 0, 0)).done.wait(5)
    assert unbalanced.close()
    bad = run(main, ["usage", "verify", directory])
    assert (bad.exit_code, "NOT in balance" in bad.output) == (1, True)
