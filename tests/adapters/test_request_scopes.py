from __future__ import annotations

import trio
import trio.testing

from lycheepath.adapters.request_scopes import RequestScopes


def is_begun() -> bool:
    return True


def is_not_begun() -> bool:
    return False


async def test_requests_without_an_answer_end_before_answers_that_have_begun() -> None:
    scopes = RequestScopes()
    ended: list[str] = []

    async def serve(name: str, begun: bool) -> None:
        with scopes.limit(is_begun if begun else is_not_begun):
            await trio.sleep_forever()
        ended.append(name)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve, "begun", True)
        nursery.start_soon(serve, "waiting", False)
        await trio.testing.wait_all_tasks_blocked()
        scopes.cancel_unanswered()
        await trio.testing.wait_all_tasks_blocked()
        assert ended == ["waiting"]
        scopes.cancel_all()
    assert ended == ["waiting", "begun"]


async def test_request_that_comes_while_the_process_ends_is_cancelled_at_once() -> None:
    scopes = RequestScopes()
    scopes.cancel_unanswered()
    with scopes.limit(is_not_begun) as scope:
        await trio.sleep_forever()
    assert scope.cancelled_caught


async def test_request_ends_at_its_deadline_though_its_answer_has_begun() -> None:
    scopes = RequestScopes()
    with trio.fail_after(1.0):
        with scopes.limit(is_begun, trio.current_time() + 0.05) as scope:
            await trio.sleep_forever()
    assert scope.cancelled_caught
    assert not scopes.ending
