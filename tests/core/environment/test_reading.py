from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st

from lycheepath.core.environment.findings import Finding, Findings
from lycheepath.core.environment.json_text import MAX_DOCUMENT_BYTES
from lycheepath.core.environment.model import Environment
from lycheepath.core.environment.reading import (
    digest,
    read_environment,
    write_environment,
)

ENVIRONMENTS = Path(__file__).parents[3] / "environments"
GOOD = json.loads((ENVIRONMENTS / "excise.json").read_text(encoding="utf-8"))

# Each case: the pointer to edit, the new value (None removes the member), the
# pointer of the finding and a part of its message or advice.
FAULTS: list[tuple[str, object, str, str]] = [
    ("/drain_ms", 30, "/drain_ms", "Say drain_s, and give it in s"),
    ("/drain_s", -1, "/drain_s", "out of range"),
    ("/drain_s", 86_400, "/drain_s", "between 0 and 3600"),
    ("/drain_s", "30", "/drain_s", "not a number"),
    ("/drain_s", True, "/drain_s", "not a number"),
    ("/revision", 0, "/revision", "out of range"),
    ("/revision", None, "/revision", "revision is missing"),
    ("/stage", "prod", "/stage", '"trial", "production"'),
    ("/hosts/0/zonne", "x", "/hosts/0/zonne", "Did you mean zone?"),
    ("/hosts/1/id", "accra-host-a", "/hosts/1/id", "already used at /hosts/0/id"),
    ("/hosts/0/zone", "nowhere", "/hosts/0/zone", "no zone nowhere"),
    ("/hosts/0/callers_address", "host:80", "/hosts/0/callers_address", "IP number"),
    ("/targets/0/models/0", "lost", "/targets/0/models/0", "no model lost"),
    ("/targets/0/models", [], "/targets/0/models", "serves no model"),
    ("/targets/3/service", "lost", "/targets/3/service", "no service lost"),
    ("/links/0/regions", ["accra"], "/links/0/regions", "pair of region ids"),
    ("/links/0/regions/1", "tamale", "/links/1/regions", "already used"),
    ("/links/0/one_way_ms", 18_000, "/links/0/one_way_ms", "the unit is ms"),
    ("/weights", {"cost": 0.8, "tail_latency": 0.8}, "/weights", "sum to 1.6"),
    ("/models/2", {"id": "unused"}, "/models/2", "no target serves"),
    ("/zones/9", {"id": "z", "region": "keta"}, "/zones/9/region", "no region keta"),
    ("/regions/3", {"id": "keta"}, "/regions/3", "has no host"),
    (
        "/residency/0/models",
        ["quick-answers"],
        "/residency/0",
        "a model and a service at once",
    ),
    (
        "/residency/1",
        {"id": "r", "region": "tamale", "teams": ["finance"]},
        "/residency/1",
        "bound to tamale by r and to accra by deposits-in-accra",
    ),
    ("/issuers", {"hosts": ["nobody"]}, "/issuers/hosts/0", "no host nobody"),
    ("/issuers", {"ended": ["accra-host-a"]}, "/issuers/ended/0", "previous issuers"),
    ("/limits/1/team", "*", "/limits/1/team", "already used"),
]  # fmt: skip


@pytest.mark.parametrize("name", ["trial", "bridal", "excise"])
def test_read_environment_accepts_the_provided_documents(name: str) -> None:
    text = (ENVIRONMENTS / f"{name}.json").read_bytes()
    environment = read_environment(text)
    assert isinstance(environment, Environment)
    assert environment.name == name
    written = write_environment(environment)
    assert read_environment(written) == environment
    assert digest(environment) == digest(_read(written))


@pytest.mark.parametrize(("place", "value", "pointer", "words"), FAULTS)
def test_read_environment_reports_each_fault_at_its_location(
    document: dict[str, object],
    place: str,
    value: object,
    pointer: str,
    words: str,
) -> None:
    _edit(document, place, value)
    text = json.dumps(document, indent=1)
    outcome = read_environment(text)
    found = {item.pointer: item for item in _list_findings(outcome)}
    assert pointer in found
    assert words in found[pointer].describe()
    if value is not None:
        key = pointer.rpartition("/")[2]
        line = text.splitlines()[found[pointer].line - 1]
        assert key.isdigit() or f'"{key}"' in line


def test_read_environment_reports_all_faults_at_once(
    document: dict[str, object],
) -> None:
    edited = [case for case in FAULTS if case[2] in {"/drain_s", "/stage"}]
    _edit(document, "/targets/0/slots", "many")
    _edit(document, "/hosts/4/zone", "nowhere")
    for place, value, _, _ in edited:
        _edit(document, place, value)
    pointers = {item.pointer for item in _list_findings(_outcome(document))}
    assert {"/drain_s", "/stage", "/targets/0/slots", "/hosts/4/zone"} <= pointers


def test_read_environment_reports_rules_that_no_target_can_meet(
    document: dict[str, object],
) -> None:
    _edit(document, "/targets/7/models", ["quick-answers"])
    rule = {"id": "r", "region": "tamale", "models": ["schedule-assistant"]}
    _edit(document, "/residency/1", rule)
    (finding,) = _list_findings(_outcome(document))
    assert finding.pointer == "/residency/1/models/0"
    assert "no target in region tamale serves" in finding.message


@pytest.mark.parametrize(
    ("text", "line", "words"),
    [
        ('{"name": "a",\n "name": "b"}', 2, "given twice"),
        ('{"name":\n "a",,}', 2, "column 6"),
        ('{"drain_s":\n\n NaN}', 3, "NaN is not a JSON number"),
        ('{"drain_s":\n -Infinity}', 2, "-Infinity is not a JSON number"),
        ("[" * 100_000 + "]" * 100_000, 1, "nested too deeply"),
        ('{"a":' * 5_000 + "1" + "}" * 5_000, 1, "nested too deeply"),
        ('{"revision": ' + "9" * 5_000 + "}", 1, "too many digits"),
        (b'{\n"name": "\xff"}', 2, "not UTF-8"),
        (" " * (MAX_DOCUMENT_BYTES + 1), 1, "over the limit"),
        ("\ud800", 1, "malformed JSON"),
        ('{"name": "\\ud800"}', 1, "not an identifier"),
        ('{"drain_s": 1e999}', 1, "an infinite number is out of range"),
        ("[]", 1, "not an object"),
        ("", 1, "malformed JSON"),
    ],
)
def test_read_environment_reports_the_line_of_text_faults(
    text: str | bytes, line: int, words: str
) -> None:
    found = _list_findings(read_environment(text))
    assert any(item.line == line and words in item.describe() for item in found)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=5)
    | st.sampled_from(["*", "perth", "perth-a", "returns-assistant", "runner"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4) | st.just("id"), inner, max_size=3)
    ),
    max_leaves=6,
)


@settings(max_examples=400, deadline=None)
@given(st.data())
def test_read_environment_never_raises_on_an_edited_document(
    data: st.DataObject,
) -> None:
    document = copy.deepcopy(GOOD)
    for _ in range(data.draw(st.integers(1, 3))):
        _mutate(document, data)
    text = json.dumps(document)
    outcome = read_environment(text)
    if isinstance(outcome, Environment):
        assert read_environment(write_environment(outcome)) == outcome
        return
    for item in _list_findings(outcome):
        assert _resolves(document, item.pointer), item
        assert item.line == 1
        assert item.advice


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 5_000), st.binary(max_size=3), st.integers(0, 40))
def test_read_environment_never_raises_on_edited_bytes(
    at: int, inserted: bytes, removed: int
) -> None:
    good = json.dumps(GOOD).encode()
    text = good[:at] + inserted + good[at + removed :]
    outcome = read_environment(text)
    assert isinstance(outcome, Environment) or _list_findings(outcome)


def _mutate(document: object, data: st.DataObject) -> None:
    parent: Any = document
    while True:
        keys = list(parent) if isinstance(parent, dict) else list(range(len(parent)))
        if not keys:
            return
        key = data.draw(st.sampled_from(keys))
        child = parent[key]
        if not isinstance(child, (dict, list)) or data.draw(st.booleans()):
            break
        parent = child
    action = data.draw(st.sampled_from(["replace", "remove", "add", "repeat"]))
    if action == "remove":
        del parent[key]
    elif action == "replace":
        parent[key] = data.draw(JSON_VALUES)
    elif isinstance(parent, dict):
        parent[data.draw(st.text(max_size=6))] = data.draw(JSON_VALUES)
    else:
        parent.append(copy.deepcopy(child) if action == "repeat" else None)


def _resolves(document: object, pointer: str) -> bool:
    """Return whether a pointer leads to a member or names a missing one."""
    value: Any = document
    tokens = pointer.split("/")[1:]
    for index, token in enumerate(tokens):
        key = token.replace("~1", "/").replace("~0", "~")
        if isinstance(value, dict) and key not in value:
            return index == len(tokens) - 1
        value = value[key] if isinstance(value, dict) else value[int(key)]
    return True


def _edit(document: dict[str, object], place: str, value: object) -> None:
    parent: Any = document
    *above, last = place.split("/")[1:]
    for key in above:
        parent = parent[int(key)] if isinstance(parent, list) else parent[key]
    if isinstance(parent, list):
        parent[int(last) : int(last) + 1] = [value]
    elif value is None:
        del parent[last]
    else:
        parent[last] = value


def _outcome(document: object) -> Environment | Findings:
    return read_environment(json.dumps(document, indent=1))


def _read(text: bytes) -> Environment:
    environment = read_environment(text)
    assert isinstance(environment, Environment)
    return environment


def _list_findings(outcome: Environment | Findings) -> tuple[Finding, ...]:
    assert isinstance(outcome, Findings)
    assert outcome.items
    return outcome.items
