"""
Reading and writing of environment documents.

``read_environment`` takes the JSON text and returns the checked environment
or all findings at once. ``write_environment`` returns the canonical form, with
sorted keys, no whitespace, and members at their default omitted. The digest
therefore does not change with the layout of the file or with a new optional
field.
"""

from __future__ import annotations

import hashlib
import json
import re
from dataclasses import MISSING, fields, is_dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .consistency import Draft, check_consistency
from .findings import Findings
from .json_text import parse_text
from .model import (
    Environment,
    Host,
    Issuers,
    Limit,
    Link,
    Model,
    Operation,
    Region,
    ResidencyRule,
    Role,
    Service,
    Stage,
    Target,
    TargetKind,
    Weights,
    WeightStore,
    Zone,
)
from .schema import (
    NOT_AN_OBJECT,
    Field,
    Location,
    Report,
    read_address,
    read_boolean,
    read_choice,
    read_identifier,
    read_integer,
    read_list,
    read_members,
    read_number,
    read_record,
    read_string,
    report_invalid,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_REVISION = 2**53 - 1


def read_environment(text: str | bytes) -> Environment | Findings:
    """
    Read an environment document.

    Returns the environment if the document is valid, else all findings. Never
    raises, whatever the text contains.
    """
    parsed = parse_text(text)
    if isinstance(parsed, Findings):
        return parsed
    report = Report()
    if not isinstance(parsed.value, dict):
        report.add(None, *NOT_AN_OBJECT)
        return report.close(parsed.text)
    members = read_members(parsed.value, _DOCUMENT, None, report)
    check_consistency(Draft(parsed.value, members), report)
    if report.entries:
        return report.close(parsed.text)
    return _build_environment(**members)


def write_environment(environment: Environment) -> bytes:
    """Return the canonical JSON of an environment."""
    members = dump_record(environment)
    return json.dumps(members, sort_keys=True, separators=(",", ":")).encode()


def digest(environment: Environment) -> str:
    """Return the hexadecimal SHA-256 of the canonical form."""
    return hashlib.sha256(write_environment(environment)).hexdigest()


def dump_record(record: object) -> dict[str, object]:
    """Return a record of the model as JSON members, omitting defaults."""
    if not is_dataclass(record):
        raise TypeError(f"{type(record).__name__} is not a record of the model")
    members: dict[str, object] = {}
    for member in fields(record):
        value = getattr(record, member.name)
        if member.default is MISSING or value != member.default:
            members[member.name] = dump_value(value)
    return members


def dump_value(value: object) -> object:
    """Return a value of the model as JSON."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [dump_value(item) for item in value]
    if is_dataclass(value):
        return dump_record(value)
    return value


def _read_region_pair(
    value: object, parent: Location | None, key: str | int, report: Report
) -> object:
    if not isinstance(value, list) or len(value) != 2:
        return report_invalid(report, parent, key, value, "a pair of region ids")
    return _read_identifiers(value, parent, key, report)


_read_identifiers = read_list(read_identifier)
_read_path_prefix = read_string(
    re.compile(r"/[!-~]{0,511}"), "a path that starts with / and has no blanks"
)
_read_method = read_string(
    re.compile(r"[A-Z]{3,16}"), "an HTTP method in capital letters"
)
_read_team = read_string(
    re.compile(r"\*|[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}"), 'a team id or "*"'
)

_read_region = read_record(Region, {"id": Field(read_identifier)})
_read_zone = read_record(
    Zone, {"id": Field(read_identifier), "region": Field(read_identifier)}
)
_read_link = read_record(
    Link,
    {
        "regions": Field(_read_region_pair),
        "one_way_ms": Field(read_number(0, 10_000)),
        "bits_per_second": Field(read_integer(1_000, 10**14), required=False),
    },
)
_read_host = read_record(
    Host,
    {
        "id": Field(read_identifier),
        "zone": Field(read_identifier),
        "callers_address": Field(read_address),
        "peers_address": Field(read_address),
    },
)
_read_model = read_record(
    Model,
    {
        "id": Field(read_identifier),
        "context_tokens": Field(read_integer(1, 10**8), required=False),
        "weights_bytes": Field(read_integer(0, 10**14), required=False),
        "version": Field(read_identifier, required=False),
    },
)
_read_target = read_record(
    Target,
    {
        "id": Field(read_identifier),
        "zone": Field(read_identifier),
        "address": Field(read_address),
        "kind": Field(read_choice(TargetKind)),
        "models": Field(_read_identifiers, required=False),
        "service": Field(read_identifier, required=False),
        "slots": Field(read_integer(1, 100_000), required=False),
        "prefill_tokens_per_s": Field(read_number(1, 10**7), required=False),
        "decode_tokens_per_s": Field(read_number(0.1, 10**6), required=False),
        "kv_tokens": Field(read_integer(0, 10**10), required=False),
        "checks_fencing": Field(read_boolean, required=False),
        "accelerators": Field(read_integer(0, 10_000), required=False),
        "role": Field(read_choice(Role), required=False),
    },
)
_read_operation = read_record(
    Operation,
    {
        "method": Field(_read_method),
        "path_prefix": Field(_read_path_prefix),
        "repeatable": Field(read_boolean),
        "timeout_ms": Field(read_integer(1, 600_000), required=False),
    },
)
_read_service = read_record(
    Service,
    {
        "id": Field(read_identifier),
        "operations": Field(read_list(_read_operation)),
        "resend_window_s": Field(read_number(1, 86_400), required=False),
    },
)
_read_rule = read_record(
    ResidencyRule,
    {
        "id": Field(read_identifier),
        "region": Field(read_identifier),
        "teams": Field(_read_identifiers, required=False),
        "models": Field(_read_identifiers, required=False),
        "services": Field(_read_identifiers, required=False),
    },
)
_read_limit = read_record(
    Limit,
    {
        "team": Field(_read_team),
        "tokens_per_s": Field(read_number(0, 10**10)),
        "burst_tokens": Field(read_number(0, 10**12)),
        "requests_per_s": Field(read_number(0, 10**7), required=False),
        "priority": Field(read_integer(0, 9), required=False),
    },
)
_read_weights = read_record(
    Weights,
    {
        "cost": Field(read_number(0, 1)),
        "tail_latency": Field(read_number(0, 1)),
    },
)
_read_issuers = read_record(
    Issuers,
    {
        "hosts": Field(_read_identifiers, required=False),
        "previous": Field(_read_identifiers, required=False),
        "ended": Field(_read_identifiers, required=False),
    },
)
_read_weight_store = read_record(
    WeightStore,
    {
        "region": Field(read_identifier),
        "bytes_per_s": Field(read_integer(1, 10**14), required=False),
    },
)


def _read_optional_store(
    value: object, parent: Location | None, key: str | int, report: Report
) -> object:
    return None if value is None else _read_weight_store(value, parent, key, report)


_DOCUMENT = {
    "name": Field(read_identifier),
    "revision": Field(read_integer(1, MAX_REVISION)),
    "stage": Field(read_choice(Stage)),
    "regions": Field(read_list(_read_region)),
    "zones": Field(read_list(_read_zone)),
    "hosts": Field(read_list(_read_host)),
    "targets": Field(read_list(_read_target)),
    "models": Field(read_list(_read_model), required=False),
    "services": Field(read_list(_read_service), required=False),
    "links": Field(read_list(_read_link), required=False),
    "residency": Field(read_list(_read_rule), required=False),
    "limits": Field(read_list(_read_limit), required=False),
    "weights": Field(_read_weights, required=False),
    "issuers": Field(_read_issuers, required=False),
    "weight_store": Field(_read_optional_store, required=False),
    "shuffle_hosts": Field(read_integer(1, 1_000), required=False),
    "drain_s": Field(read_number(0, 3_600), required=False),
}
_build_environment: Callable[..., Environment] = Environment
