"""
Promotion of a document from trial to production, and the checks before it.

A promotion is an ordinary edit: the next revision with a different stage. The
text is formatted again, with one record a line.
"""

from __future__ import annotations

import json
from dataclasses import replace
from typing import TYPE_CHECKING

from .findings import Finding
from .reading import dump_record

if TYPE_CHECKING:
    from .model import Environment, Stage


def promote_environment(environment: Environment, stage: Stage) -> Environment:
    """Return the document at its next revision and in ``stage``."""
    return replace(environment, revision=environment.revision + 1, stage=stage)


def check_succession(before: Environment, after: Environment) -> tuple[Finding, ...]:
    """Return the findings about publishing ``after`` in place of ``before``."""
    findings: list[Finding] = []
    if after.name != before.name:
        findings.append(
            Finding(
                "/name",
                1,
                f"the environment changes from {before.name} to {after.name}",
                "Compare two documents of one environment",
            )
        )
    if after.revision <= before.revision:
        findings.append(
            Finding(
                "/revision",
                1,
                f"revision {after.revision} does not follow {before.revision}; "
                "hosts will not take it",
                f"Give revision {before.revision + 1} or higher",
            )
        )
    return tuple(findings)


def format_environment(environment: Environment) -> str:
    """Return a document as JSON with one record a line."""
    lines = []
    for name, value in dump_record(environment).items():
        lines.append(f"  {json.dumps(name)}: {_write_member(value)}")
    return "{\n" + ",\n".join(lines) + "\n}\n"


def _write_member(value: object) -> str:
    if isinstance(value, list) and value and isinstance(value[0], dict):
        records = ",\n".join(f"    {json.dumps(record)}" for record in value)
        return f"[\n{records}\n  ]"
    return json.dumps(value)
