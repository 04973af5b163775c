from __future__ import annotations

from dataclasses import replace

from lycheepath.core.actions.claims import KeyOrigin, Refusal, Run
from lycheepath.core.actions.ownership import (
    ActionRequest,
    AnswerVoidTicket,
    ForwardTo,
    RunHere,
    locate_owner,
)
from lycheepath.core.actions.tickets import (
    Owner,
    encode_ticket,
    issue_ticket,
    verify_ticket,
)
from lycheepath.core.reasons import Absent, Reason
from lycheepath.host.settings import PeerKey
from tests.core.actions.environments import KEYS, make_environment

ENVIRONMENT = make_environment()
ME = Owner("h1", "inc-1", "h1:80")
TICKET = issue_ticket(ME, "brides", "deposits", b"\x01" * 16, 125.0)


def test_ticket_survives_its_text_and_a_key_rotation() -> None:
    old, new = KEYS[1], KEYS[0]
    text = encode_ticket(TICKET, old)
    assert verify_ticket(text, (new, old), "brides", "deposits") == TICKET
    assert TICKET.claim.origin is KeyOrigin.TICKET


def test_ticket_refuses_forgeries() -> None:
    text = encode_ticket(TICKET, KEYS[0])
    stranger = encode_ticket(TICKET, PeerKey("b", b"stranger"))
    version, payload, mac = text.split(".")
    altered = [text[:i] + chr(ord(text[i]) ^ 1) + text[i + 1 :] for i in range(4, 60)]
    texts = ["", "x", "lp1..", f"{version}.{payload}.", f"lp2.{payload}.{mac}"]
    for forged in [*texts, stranger, text + ".", "é" * 3, *altered, "A" * 5000]:
        answer = verify_ticket(forged, KEYS, "brides", "deposits")
        assert isinstance(answer, Absent), forged
        assert answer.reason is Reason.TICKET_FORGED
    for team, service in (("artists", "deposits"), ("brides", "trials")):
        assert isinstance(verify_ticket(text, KEYS, team, service), Absent)


def test_owner_alone_runs_a_ticket() -> None:
    text = encode_ticket(TICKET, KEYS[0])
    request = ActionRequest("brides", "deposits", "accra", ticket=text)

    def locate(host: str, incarnation: str, address: str) -> object:
        return locate_owner(
            request, Owner(host, incarnation, address), ENVIRONMENT, KEYS
        )

    assert locate("h1", "inc-1", "h1:80") == RunHere(TICKET.claim, TICKET.expires_at)
    assert locate("h2", "inc-9", "h2:80") == ForwardTo("h1", TICKET.claim)
    assert isinstance(locate("h1", "inc-2", "h1:80"), AnswerVoidTicket)
    moved = locate("h1", "inc-2", "elsewhere:80")
    assert isinstance(moved, Refusal)
    assert moved.run is Run.UNKNOWN
    again = locate_owner(
        replace(request, forwarded=True),
        Owner("h2", "inc-9", "h2:80"),
        ENVIRONMENT,
        KEYS,
    )
    assert isinstance(again, Refusal)
    assert again.reason is Reason.ALREADY_FORWARDED


def test_call_without_ticket_or_key_runs_nothing() -> None:
    request = ActionRequest("brides", "deposits", "accra")
    answer = locate_owner(request, ME, ENVIRONMENT, KEYS)
    assert isinstance(answer, Refusal)
    assert (answer.status, answer.run) == (428, Run.NOT_RUN)
    both = replace(request, key="k", ticket=encode_ticket(TICKET, KEYS[0]))
    answer = locate_owner(both, ME, ENVIRONMENT, KEYS)
    assert isinstance(answer, Refusal)
    assert answer.status == 422
