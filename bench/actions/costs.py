"""
Measures the cost of at-most-once actions: time and memory per claim.

Run from the root of the repository::

    python -m bench.actions.costs
"""

from __future__ import annotations

import time
import tracemalloc

from lycheepath.core.actions.claims import (
    Claim,
    ClaimConditions,
    Permit,
    RecordedAnswer,
    fingerprint_request,
)
from lycheepath.core.actions.issuance import select_issuer
from lycheepath.core.actions.ledger import ActionLedger, LedgerLimits
from lycheepath.core.actions.tickets import (
    Owner,
    encode_ticket,
    issue_ticket,
    verify_ticket,
)
from tests.core.actions.environments import KEYS, make_environment

CLAIM_COUNTS = (1_000, 10_000, 40_000)
LIMITS = LedgerLimits(max_claims=50_000, max_team_claims=50_000)
BODY = b"x" * 200


def run_claims(ledger: ActionLedger, number: int) -> None:
    """Begin, authorise and complete claims, each with an answer of 200 bytes."""
    for index in range(number):
        claim = Claim("brides", "deposits", f"5f0c7a52-9d5e-4b7c-8a51-{index:012d}")
        fingerprint = fingerprint_request("POST", "/deposits", BODY)
        conditions = ClaimConditions(
            received_not_before=1.0, window_s=120.0, deadline=10.0, revision=1
        )
        permit = ledger.begin(claim, fingerprint, conditions, 1.0)
        assert isinstance(permit, Permit)
        assert ledger.authorise_send(permit, 1.0, 1) is None
        body = index.to_bytes(200, "big")
        ledger.complete(permit, RecordedAnswer(200, "application/json", body))


def print_claims(number: int) -> None:
    ledger = ActionLedger(LIMITS)
    started = time.perf_counter()
    run_claims(ledger, number)
    claim_us = (time.perf_counter() - started) / number * 1e6
    ledger.close()
    started = time.perf_counter()
    records = ledger.export_records("h2", 2.0)
    export_us = (time.perf_counter() - started) / number * 1e6
    successor = ActionLedger(LIMITS)
    started = time.perf_counter()
    successor.import_records(records, 2.0)
    import_us = (time.perf_counter() - started) / number * 1e6
    started = time.perf_counter()
    expired = successor.expire(1_000.0)
    expire_us = (time.perf_counter() - started) / number * 1e6
    assert expired == number
    tracemalloc.start()
    measured = ActionLedger(LIMITS)
    run_claims(measured, number)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"claims {number:6d}: {claim_us:5.1f} us begin to complete,"
        f" {export_us:4.1f} us export, {import_us:4.1f} us import,"
        f" {expire_us:4.1f} us expire, {traced_bytes / number:5.0f} bytes each"
    )


def print_step(name: str, step: object, number: int = 20_000) -> None:
    assert callable(step)
    started = time.perf_counter()
    for index in range(number):
        step(index)
    print(f"{name}: {(time.perf_counter() - started) / number * 1e6:.1f} us")


def main() -> None:
    """Run all measurements and print the results."""
    for number in CLAIM_COUNTS:
        print_claims(number)
    owner = Owner("h1", "incarnation-1", "10.0.0.1:8080")
    ticket = issue_ticket(owner, "brides", "deposits", b"n" * 16, 125.0)
    text = encode_ticket(ticket, KEYS[0])
    print(f"a ticket has {len(text)} characters")
    print_step("encode a ticket", lambda _: encode_ticket(ticket, KEYS[0]))
    print_step(
        "verify a ticket", lambda _: verify_ticket(text, KEYS, "brides", "deposits")
    )
    for hosts in (3, 30, 220):
        environment = make_environment(tuple(f"h{n}" for n in range(hosts)))
        print_step(
            f"find a key's issuer among {hosts} hosts",
            lambda index, environment=environment: select_issuer(
                environment, "accra", "brides", "deposits", str(index)
            ),
            number=2_000,
        )


if __name__ == "__main__":
    main()
