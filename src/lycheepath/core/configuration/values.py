"""
Readers of the named values that a host fetches from the platform.

A reader validates a text and returns its content and digest, or findings::

    read = build_environment_reader("bridal")
    outcome = read(text)
"""

from __future__ import annotations

import hashlib
import json
import re
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from ..clients import Client, Directory
from ..environment.findings import Finding, Findings
from ..environment.json_text import ParsedText, parse_text
from ..environment.reading import digest, read_environment
from ..environment.schema import (
    NOT_AN_OBJECT,
    Field,
    Report,
    read_choice,
    read_identifier,
    read_list,
    read_members,
    read_record,
    read_string,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

HOSTS = "hosts"
DIRECTORY = "directory"


class ListedState(Enum):
    """The state of a host or target in the platform's list, which lags."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host in the platform's list; ``address`` is the one that peers use."""

    id: str
    address: str
    state: ListedState


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target in the platform's list."""

    id: str
    state: ListedState


@dataclass(frozen=True, slots=True)
class HostList:
    """The platform's list of hosts and targets that are live or shutting down."""

    hosts: tuple[ListedHost, ...]
    targets: tuple[ListedTarget, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadValue:
    """
    A valid value: its content and the digest of its canonical form.

    ``revision`` is the one that the text itself contains; None if it contains
    none.
    """

    content: object
    digest: str
    revision: int | None = None


@dataclass(frozen=True, slots=True)
class _ListedClient:
    """A client listed in the directory, with the digest of its API key."""

    client: Client
    key_sha256: str


class ValueReader(Protocol):
    """Reads the text of one named value."""

    def __call__(self, text: bytes, /) -> ReadValue | Findings: ...


def environment_value_name(environment: str) -> str:
    """Return the name under which the platform publishes an environment."""
    return f"environment/{environment}"


def build_environment_reader(environment: str) -> ValueReader:
    """Return a reader that accepts only the document of ``environment``."""

    def read(text: bytes, /) -> ReadValue | Findings:
        outcome = read_environment(text)
        if isinstance(outcome, Findings):
            return outcome
        if outcome.name != environment:
            return _report_name_mismatch(outcome.name, environment)
        return ReadValue(outcome, digest(outcome), outcome.revision)

    return read


def read_host_list(text: bytes, /) -> ReadValue | Findings:
    """Read the platform's list of hosts and targets."""
    return _read_value(text, _HOST_LIST, HostList)


def read_directory(text: bytes, /) -> ReadValue | Findings:
    """Read the directory of clients."""
    value = _read_value(text, _DIRECTORY, _build_clients)
    if isinstance(value, Findings) or not isinstance(value.content, tuple):
        return value
    clients: tuple[_ListedClient, ...] = value.content
    by_key = {client.key_sha256: client.client for client in clients}
    if len(by_key) < len(clients):
        return _report_shared_key()
    return ReadValue(Directory(by_key), value.digest)


def build_readers(environment: str) -> dict[str, ValueReader]:
    """Return a reader for each value that a host of ``environment`` needs."""
    return {
        environment_value_name(environment): build_environment_reader(environment),
        HOSTS: read_host_list,
        DIRECTORY: read_directory,
    }


def _read_value(
    text: bytes, fields: Mapping[str, Field], build: Callable[..., object]
) -> ReadValue | Findings:
    parsed = parse_text(text)
    if isinstance(parsed, Findings):
        return parsed
    report = Report()
    if not isinstance(parsed.value, dict):
        report.add(None, *NOT_AN_OBJECT)
        return report.close(parsed.text)
    members = read_members(parsed.value, fields, None, report)
    if report.entries:
        return report.close(parsed.text)
    return ReadValue(build(**members), _digest_value(parsed))


def _build_clients(clients: tuple[_ListedClient, ...]) -> tuple[_ListedClient, ...]:
    return clients


def _report_shared_key() -> Findings:
    finding = Finding(
        "/clients",
        1,
        "two clients have the same key_sha256",
        "Give each client its own API key",
    )
    return Findings((finding,))


def _build_client(id: str, team: str, region: str, key_sha256: str) -> _ListedClient:  # noqa: A002
    return _ListedClient(Client(id, team, region), key_sha256)


def _digest_value(parsed: ParsedText) -> str:
    canonical = json.dumps(parsed.value, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()


def _report_name_mismatch(found: str, expected: str) -> Findings:
    finding = Finding(
        "/name",
        1,
        f"the document is of the environment {found}",
        f"Publish it under environment/{found}; this host serves {expected}",
    )
    return Findings((finding,))


_read_state = read_choice(ListedState)
_read_network_address = read_string(
    re.compile(r"[0-9A-Fa-f.:\[\]]{3,64}"), "an IP number, with or without a port"
)
_read_key_digest = read_string(
    re.compile(r"[0-9a-f]{64}"), "64 hexadecimal digits in small letters"
)

_HOST_LIST = {
    "hosts": Field(
        read_list(
            read_record(
                ListedHost,
                {
                    "id": Field(read_identifier),
                    "address": Field(_read_network_address),
                    "state": Field(_read_state),
                },
            )
        )
    ),
    "targets": Field(
        read_list(
            read_record(
                ListedTarget,
                {"id": Field(read_identifier), "state": Field(_read_state)},
            )
        ),
        required=False,
    ),
}
_DIRECTORY = {
    "clients": Field(
        read_list(
            read_record(
                _build_client,
                {
                    "id": Field(read_identifier),
                    "team": Field(read_identifier),
                    "region": Field(read_identifier),
                    "key_sha256": Field(_read_key_digest),
                },
            )
        )
    )
}
