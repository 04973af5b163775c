"""
Reads the operators' pages of a host over HTTP.

The key is read from the environment variable ``LYCHEEPATH_OPERATOR_KEY``, so
that it does not appear in process lists.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import httpx

KEY_VARIABLE = "LYCHEEPATH_OPERATOR_KEY"
PAGE_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class PageProblem:
    """Why a page could not be read, and what the operator can do."""

    message: str


def fetch_page(host: str, path: str) -> object | PageProblem:
    """Return the JSON of ``path`` on ``host``, given as ``IP:port``."""
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        return PageProblem(f"Set {KEY_VARIABLE} to the operators' key.")
    answer = _get(host, path, {"Authorization": f"Bearer {key}"})
    return answer if isinstance(answer, PageProblem) else _read_answer(host, answer)


def fetch_open_page(host: str, path: str) -> object | PageProblem:
    """
    Return the JSON of a page that needs no key, on ``host`` as ``IP:port``.

    Such a page says itself what is wrong with a question.
    """
    answer = _get(host, path, {})
    if isinstance(answer, PageProblem):
        return answer
    try:
        page: object = answer.json()
    except ValueError:
        return PageProblem(
            f"{host} has no such page. Give the metrics address of a gateway of this"
            " version as IP:port."
        )
    if answer.status_code != 200:
        error = page.get("error") if isinstance(page, dict) else None
        status = f"{host} answered with status {answer.status_code}."
        return PageProblem(str(error or status))
    return page


def _get(host: str, path: str, headers: dict[str, str]) -> httpx.Response | PageProblem:
    import httpx  # Importing takes 0.1 s, which other commands don't need.

    try:
        return httpx.get(
            f"http://{host}{path}",
            headers=headers,
            timeout=PAGE_TIMEOUT_S,
            trust_env=False,
        )
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        return PageProblem(f"{host} does not answer: {error}. Give it as IP:port.")


def _read_answer(host: str, answer: httpx.Response) -> object | PageProblem:
    if answer.status_code == 401:
        return PageProblem(f"{host} refuses the key; check {KEY_VARIABLE}.")
    if answer.status_code == 404:
        return PageProblem(f"{host} knows nothing under that name.")
    if answer.status_code != 200:
        return PageProblem(f"{host} answered with status {answer.status_code}.")
    try:
        page: object = answer.json()
    except ValueError:
        return PageProblem(f"{host} did not answer in JSON; is it an entry host?")
    return page
