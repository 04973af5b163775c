"""
Strict parsing of JSON text, and the line number of each member.

Parsing rejects what many JSON parsers accept silently: duplicate keys, NaN and
infinities, and numbers or nesting beyond the interpreter's limits. Line numbers
are computed in a second pass, and only if there is a finding to locate.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

from .findings import Finding, Findings

MAX_DOCUMENT_BYTES = 1_000_000

_TOKEN = re.compile(
    r'(?P<string>"(?:[^"\\]|\\.)*")|(?P<punctuation>[{}\[\],:])|(?P<literal>[^\s{}\[\],:"]+)',
    re.DOTALL,
)


@dataclass(frozen=True, slots=True)
class ParsedText:
    """A parsed JSON text: its value, and the text for locating findings."""

    value: object
    text: str


@dataclass(frozen=True, slots=True)
class LineIndex:
    """
    The line numbers of a text's members by JSON pointer.

    ``duplicates`` lists the pointer and the line of each duplicate key.
    """

    lines: dict[str, int]
    duplicates: tuple[tuple[str, int], ...]

    def find_line(self, pointer: str) -> int:
        """Return the line of ``pointer``, or of its nearest existing parent."""
        while pointer and pointer not in self.lines:
            pointer = pointer.rpartition("/")[0]
        return self.lines.get(pointer, 1)


def escape_key(key: str) -> str:
    """Return ``key`` as a reference token of a JSON pointer."""
    return key.replace("~", "~0").replace("/", "~1")


def parse_text(source: str | bytes) -> ParsedText | Findings:
    """
    Parse a JSON text of at most ``MAX_DOCUMENT_BYTES``.

    The findings concern only the text: its size, encoding, syntax and
    duplicate keys.
    """
    text = _decode_source(source)
    if isinstance(text, Finding):
        return Findings((text,))
    repeated = False

    def build_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
        nonlocal repeated
        members = dict(pairs)
        if len(members) != len(pairs):
            repeated = True
        return members

    try:
        value = json.loads(
            text, object_pairs_hook=build_object, parse_constant=_reject_constant
        )
    except json.JSONDecodeError as error:
        return _report_text(
            error.lineno,
            f"malformed JSON at column {error.colno}: {error.msg}",
            "Mend the text there",
        )
    except _ConstantError as error:
        line = _find_constant(text, str(error))
        return _report_text(
            line, f"{error} is not a JSON number", "Give a finite number"
        )
    except RecursionError:
        return _report_text(1, "nested too deeply", "Remove the nested members")
    except ValueError:
        return _report_text(
            1, "a number has too many digits", "Give a number of at most 17 digits"
        )
    if repeated:
        return _report_duplicates(text)
    return ParsedText(value, text)


def locate_members(text: str) -> LineIndex:
    """
    Return the line of each member and element of a valid JSON text.

    The scan uses its own stack instead of recursion, so that deep nesting
    can't exhaust the interpreter's.
    """
    return _LineScanner(text).scan()


@dataclass(slots=True)
class _Container:
    """An object or array that the scan has entered and not yet left."""

    pointer: str
    is_object: bool
    index: int = 0
    key: str | None = None
    seen: set[str] | None = None


class _LineScanner:
    """The state of one scan over a text."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._stack: list[_Container] = []
        self._lines: dict[str, int] = {}
        self._duplicates: list[tuple[str, int]] = []

    def scan(self) -> LineIndex:
        line = 1
        position = 0
        for match in _TOKEN.finditer(self._text):
            line += self._text.count("\n", position, match.start())
            position = match.start()
            self._handle_token(match.group(), line)
        return LineIndex(self._lines, tuple(self._duplicates))

    def _handle_token(self, token: str, line: int) -> None:
        top = self._stack[-1] if self._stack else None
        if token in ("}", "]"):
            self._stack.pop()
        elif token == ",":
            self._handle_comma(top)
        elif token == ":":
            return
        elif top is not None and top.is_object and top.key is None:
            self._handle_key(top, token, line)
        else:
            self._handle_value(top, token, line)

    def _handle_comma(self, top: _Container | None) -> None:
        if top is None:
            return
        top.index += 1
        top.key = None

    def _handle_key(self, top: _Container, token: str, line: int) -> None:
        key = json.loads(token, strict=False)
        top.key = key
        if top.seen is None:
            top.seen = set()
        if key in top.seen:
            self._duplicates.append((f"{top.pointer}/{escape_key(key)}", line))
        top.seen.add(key)

    def _handle_value(self, top: _Container | None, token: str, line: int) -> None:
        pointer = self._build_pointer(top)
        self._lines[pointer] = line
        if token in ("{", "["):
            self._stack.append(_Container(pointer, token == "{"))

    def _build_pointer(self, top: _Container | None) -> str:
        if top is None:
            return ""
        if top.is_object:
            return f"{top.pointer}/{escape_key(top.key or '')}"
        return f"{top.pointer}/{top.index}"


class _ConstantError(Exception):
    """The text holds NaN or an infinity."""


def _decode_source(source: str | bytes) -> str | Finding:
    size = len(source)
    if isinstance(source, str) and size <= MAX_DOCUMENT_BYTES and not source.isascii():
        size = len(source.encode("utf-8", "surrogatepass"))
    if size > MAX_DOCUMENT_BYTES:
        return Finding(
            "",
            1,
            f"the document has {size} bytes, over the limit of {MAX_DOCUMENT_BYTES}",
            "Drop what it no longer needs, or write shared values once in defaults",
        )
    if isinstance(source, str):
        return source
    try:
        return source.decode("utf-8")
    except UnicodeDecodeError as error:
        line = source.count(b"\n", 0, error.start) + 1
        return Finding("", line, "the text is not UTF-8", "Save the file as UTF-8")


def _reject_constant(name: str) -> object:
    raise _ConstantError(name)


def _find_constant(text: str, name: str) -> int:
    for match in _TOKEN.finditer(text):
        if match.group("literal") == name:
            return text.count("\n", 0, match.start()) + 1
    return 1


def _report_text(line: int, message: str, advice: str) -> Findings:
    return Findings((Finding("", line, message, advice),))


def _report_duplicates(text: str) -> Findings:
    line_index = locate_members(text)
    return Findings(
        tuple(
            Finding(pointer, line, "the key is given twice", "Keep one of them")
            for pointer, line in line_index.duplicates
        )
    )
