"""
Chat completions as callers send them: reading and bounds.

All findings of a malformed request are reported together, each with its JSON
pointer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .routing.request import estimate_tokens

MOST_MESSAGES = 2000
MOST_TOKENS = 1_000_000
DEFAULT_MAX_TOKENS = 256
RESERVED_FIELDS = ("priority", "resume")


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """What is wrong with a request: pointer and advice for each finding."""

    findings: tuple[tuple[str, str], ...]

    def detail(self) -> str:
        """Return all findings in one line."""
        return "; ".join(f"{pointer}: {advice}" for pointer, advice in self.findings)


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """A well-formed chat completion; ``body`` is what engines are sent."""

    model: str
    messages: tuple[dict[str, Any], ...]
    stream: bool
    max_tokens: int
    body: dict[str, Any]

    def prompt_tokens(self) -> int:
        """Return an estimate of the prompt's length in tokens."""
        return estimate_tokens(self.messages)


def read_chat_request(value: Any) -> ChatRequest | MalformedRequest:
    """Check a parsed request body."""
    if not isinstance(value, dict):
        return MalformedRequest((("", "send a JSON object"),))
    findings: list[tuple[str, str]] = []
    model = value.get("model")
    if not isinstance(model, str) or not model:
        findings.append(("/model", "name a model as a non-empty string"))
    messages = value.get("messages")
    findings.extend(_check_messages(messages))
    stream = value.get("stream", False)
    if not isinstance(stream, bool):
        findings.append(("/stream", "use true or false"))
    max_tokens = value.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not _is_count(max_tokens):
        findings.append(("/max_tokens", f"use a whole number from 1 to {MOST_TOKENS}"))
    if findings:
        return MalformedRequest(tuple(findings))
    body = {name: v for name, v in value.items() if name not in RESERVED_FIELDS}
    body["max_tokens"] = max_tokens
    return ChatRequest(str(model), tuple(messages or ()), stream, max_tokens, body)


def _check_messages(messages: Any) -> list[tuple[str, str]]:
    if not isinstance(messages, list) or not messages:
        return [("/messages", "send a non-empty list")]
    if len(messages) > MOST_MESSAGES:
        return [("/messages", f"send at most {MOST_MESSAGES} messages")]
    findings = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            findings.append((f"/messages/{index}", "send an object"))
            continue
        if not isinstance(message.get("role"), str):
            findings.append((f"/messages/{index}/role", "send a string"))
        if not isinstance(message.get("content"), str | list):
            findings.append((f"/messages/{index}/content", "send text or a list"))
    return findings


def _is_count(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return 1 <= value <= MOST_TOKENS
