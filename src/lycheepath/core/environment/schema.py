"""
Readers that turn JSON values into typed values and collect findings.

A reader takes a value, its location (the parent's location and the key in the
parent) and the report. It returns the typed value, or ``INVALID`` after adding
its findings to the report. Readers are closures that can be combined::

    read_zone = read_record(
        Zone,
        {"id": Field(read_identifier), "region": Field(read_identifier)},
    )
    read_zones = read_list(read_zone)

Lists keep ``INVALID`` in place of an invalid element, so that the indexes of
the valid elements stay those of the document.
"""

from __future__ import annotations

import difflib
import ipaddress
import math
import re
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

from .findings import Finding, Findings
from .json_text import escape_key, locate_members

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

MAX_FINDINGS = 100
NOT_AN_OBJECT = ("the document is not an object", "Begin it with {")

_IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}")
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_IPV4_ADDRESS = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}:([0-9]{{1,5}})")
_IPV6_ADDRESS = re.compile(r"\[([0-9A-Fa-f:.]+)\]:([0-9]{1,5})")
_UNITS = ("ms", "s", "us", "ns", "min", "minutes", "seconds", "bytes", "bits", "tokens")


class Invalid(Enum):
    """The type of ``INVALID``."""

    INVALID = "invalid"


INVALID: Final = Invalid.INVALID


class Location(NamedTuple):
    """The location of a value: its parent's location, and its key or index there."""

    parent: Location | None
    key: str | int

    def to_pointer(self) -> str:
        """Return the location as a JSON pointer."""
        parent_pointer = self.parent.to_pointer() if self.parent else ""
        return f"{parent_pointer}/{escape_key(str(self.key))}"


@dataclass(slots=True)
class Report:
    """The findings of one reading, without their line numbers."""

    entries: list[tuple[str, str, str]] = field(default_factory=list)

    def add(self, location: Location | None, message: str, advice: str) -> None:
        """Add a finding at ``location``; None is the whole document."""
        pointer = location.to_pointer() if location else ""
        self.entries.append((pointer, message, advice))

    def close(self, text: str) -> Findings:
        """Return the findings with their lines; lists at most ``MAX_FINDINGS``."""
        line_index = locate_members(text)
        found = [
            Finding(pointer, line_index.find_line(pointer), message, advice)
            for pointer, message, advice in self.entries
        ]
        found.sort(key=lambda finding: finding.line)
        return Findings(_truncate_findings(found))


class Reader(Protocol):
    """Reads one value at a location and adds its findings to the report."""

    def __call__(
        self, value: object, parent: Location | None, key: str | int, report: Report, /
    ) -> object: ...


@dataclass(frozen=True, slots=True)
class Field:
    """One member of a record: its reader and whether it is required."""

    read: Reader
    required: bool = True


def read_members(
    value: dict[str, object],
    fields: Mapping[str, Field],
    location: Location | None,
    report: Report,
) -> dict[str, object]:
    """Return the known members of an object, invalid ones as ``INVALID``."""
    members: dict[str, object] = {}
    for name, item in value.items():
        member = fields.get(name)
        if member is None:
            _report_unknown(report, Location(location, name), name, fields)
        else:
            members[name] = member.read(item, location, name, report)
    if len(members) == len(fields):
        return members
    for name, member in fields.items():
        if member.required and name not in value:
            report.add(Location(location, name), f"{name} is missing", f"Add {name}")
    return members


def read_record(build: Callable[..., object], fields: Mapping[str, Field]) -> Reader:
    """Return a reader of objects that calls ``build`` with the members read."""

    def read(
        value: object, parent: Location | None, key: str | int, report: Report
    ) -> object:
        if not isinstance(value, dict):
            return report_invalid(report, parent, key, value, "an object")
        before = len(report.entries)
        members = read_members(value, fields, Location(parent, key), report)
        return build(**members) if len(report.entries) == before else INVALID

    return read


def read_list(read_element: Reader) -> Reader:
    """Return a reader of arrays; invalid elements become ``INVALID``."""

    def read(
        value: object, parent: Location | None, key: str | int, report: Report
    ) -> object:
        if not isinstance(value, list):
            return report_invalid(report, parent, key, value, "an array")
        location = Location(parent, key)
        return tuple(
            [
                read_element(element, location, index, report)
                for index, element in enumerate(value)
            ]
        )

    return read


def read_number(low: float, high: float) -> Reader:
    """Return a reader of finite numbers between ``low`` and ``high``, as float."""

    def read(
        value: object, parent: Location | None, key: str | int, report: Report
    ) -> object:
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            return report_invalid(report, parent, key, value, "a number")
        if not low <= value <= high:
            return _report_out_of_range(report, Location(parent, key), value, low, high)
        return float(value)

    return read


def read_integer(low: int, high: int) -> Reader:
    """Return a reader of integers between ``low`` and ``high``."""

    def read(
        value: object, parent: Location | None, key: str | int, report: Report
    ) -> object:
        if not isinstance(value, int) or isinstance(value, bool):
            return report_invalid(report, parent, key, value, "a whole number")
        if not low <= value <= high:
            return _report_out_of_range(report, Location(parent, key), value, low, high)
        return value

    return read


def read_boolean(
    value: object, parent: Location | None, key: str | int, report: Report
) -> object:
    """Read true or false."""
    if not isinstance(value, bool):
        return report_invalid(report, parent, key, value, "true or false")
    return value


def read_string(pattern: re.Pattern[str], expected: str) -> Reader:
    """Return a reader of strings that match ``pattern`` in full."""

    def read(
        value: object, parent: Location | None, key: str | int, report: Report
    ) -> object:
        if not isinstance(value, str) or pattern.fullmatch(value) is None:
            return report_invalid(report, parent, key, value, expected)
        return value

    return read


read_identifier = read_string(
    _IDENTIFIER,
    "an identifier of 1 to 128 letters, digits and . _ : / @ + -",
)


def read_choice(
    choices: type[Enum],
) -> Reader:
    """Return a reader of the values of an enumeration."""
    by_value = {choice.value: choice for choice in choices}
    expected = "one of " + ", ".join(f'"{value}"' for value in by_value)

    def read(
        value: object, parent: Location | None, key: str | int, report: Report
    ) -> object:
        if not isinstance(value, str) or value not in by_value:
            return report_invalid(report, parent, key, value, expected)
        return by_value[value]

    return read


def read_address(
    value: object, parent: Location | None, key: str | int, report: Report
) -> object:
    """Read ``IP:port``, with an IPv6 number in brackets."""
    if isinstance(value, str) and _is_address(value):
        return value
    return report_invalid(
        report, parent, key, value, "an IP number and a port, like 10.0.0.1:8080"
    )


def report_invalid(
    report: Report,
    parent: Location | None,
    key: str | int,
    value: object,
    expected: str,
) -> Invalid:
    """Report that ``value``, the member ``key`` of ``parent``, is not ``expected``."""
    report.add(
        Location(parent, key),
        f"{_format_value(value)} is not {expected}",
        f"Give {expected}",
    )
    return INVALID


def _is_address(value: str) -> bool:
    match = _IPV4_ADDRESS.fullmatch(value)
    if match is not None:
        return _is_port(match[1])
    match = _IPV6_ADDRESS.fullmatch(value)
    return match is not None and _is_port(match[2]) and _is_ipv6_number(match[1])


def _is_port(digits: str) -> bool:
    return 0 < int(digits) <= 65_535


def _is_ipv6_number(text: str) -> bool:
    try:
        ipaddress.IPv6Address(text)
    except ValueError:
        return False
    return True


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "an array"
    if isinstance(value, str):
        return ascii(value if len(value) <= 40 else value[:37] + "...")
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int) and abs(value) >= 10**18:
        return "a number of more than 18 digits"
    return str(value)


def _report_out_of_range(
    report: Report,
    location: Location | None,
    value: float,
    low: float,
    high: float,
) -> Invalid:
    name = str(location.key) if location else "the value"
    unit = _find_unit(name)
    hint = f" (the unit is {unit})" if unit else ""
    shown = "an infinite number" if _is_infinite(value) else _format_value(value)
    report.add(
        location,
        f"{shown} is out of range",
        f"Give {name}{hint} between {low:g} and {high:g}",
    )
    return INVALID


def _is_infinite(value: float) -> bool:
    return isinstance(value, float) and not math.isfinite(value)


def _report_unknown(
    report: Report, location: Location, name: str, fields: Mapping[str, Field]
) -> None:
    message = f"the field {_format_value(name)} is unknown"
    report.add(location, message, _advise_unknown(name, fields))


def _advise_unknown(name: str, fields: Mapping[str, Field]) -> str:
    stem = _drop_unit(name)
    for known in fields:
        if stem in (known, _drop_unit(known)) and _find_unit(known):
            return f"Say {known}, and give it in {_find_unit(known)}"
    close = difflib.get_close_matches(name, fields, n=1)
    if close:
        return f"Did you mean {close[0]}? Rename or remove it"
    return "Remove it, or use one of " + ", ".join(fields)


def _find_unit(name: str) -> str:
    for ending in ("bits_per_second", "bytes_per_s", "tokens_per_s", "requests_per_s"):
        if name.endswith(ending):
            return ending.replace("_", " ")
    unit = name.rpartition("_")[2]
    return unit if "_" in name and unit in _UNITS else ""


def _drop_unit(name: str) -> str:
    stem, _, unit = name.rpartition("_")
    return stem if stem and unit in _UNITS else name


def _truncate_findings(found: list[Finding]) -> tuple[Finding, ...]:
    if len(found) <= MAX_FINDINGS:
        return tuple(found)
    hidden = len(found) - MAX_FINDINGS
    last = Finding("", 1, f"{hidden} more findings are not shown", "Mend these first")
    return (*found[:MAX_FINDINGS], last)
