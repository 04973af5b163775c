"""
The attempts of one request that are in progress, of which one answers.

An attempt that is silent stays open, since its target may be sound and go on: another one
is started beside it, and the first that has something for the caller goes on alone. Without
another place the request waits for the attempts that it has::

    race = AttemptRace(node, exchange, nursery, send)
    race.start(make_attempt(node, exchange, placed))
    await race.wait(timeout_s)
    for attempt in race.take_ended(): ...
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event
from ..adapters.http1.downstream import CallerGoneError
from ..core.placement.outcomes import AttemptOutcome
from ..core.placement.silence import find_heard_s_ago, is_active_elsewhere
from ..core.serving.attempts import AttemptResult
from .telemetry import FAULT_REASON, record_request_fault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator
    from contextlib import AbstractContextManager

    from ..core.placement.model import Placement
    from ..core.serving.answers import ReportedLoad
    from ..core.serving.events import EventSplitter
    from .exchange import Exchange
    from .inactivity import InactivityTimer
    from .node import GatewayNode

    Watch = Callable[[float], AbstractContextManager[InactivityTimer]]


class AttemptReplacedError(Exception):
    """Another attempt has answered the request."""


@dataclass(frozen=True, slots=True)
class SendOutcome:
    """
    The outcome of one attempt: its result, how it ended at the target, and why.

    ``closed`` says that no target of the other region is open for the service,
    ``unreachable`` that the other host can't reach them.
    """

    result: AttemptResult
    ending: AttemptOutcome
    reason: str = ""
    closed: bool = False
    unreachable: bool = False


# The outcome of an attempt that was cancelled.
CANCELLED = SendOutcome(
    AttemptResult.LOST, AttemptOutcome.UNDETERMINED, "the attempt was cancelled"
)
# The outcome of an attempt that a fault of this host has ended.
FAULTY = SendOutcome(AttemptResult.LOST, AttemptOutcome.UNDETERMINED, FAULT_REASON)


@dataclass(slots=True, eq=False)
class Attempt:
    """
    State of one attempt at a target, or through another host.

    ``number`` is unique among the attempts of this host. ``target`` and ``version``
    are those of the target that answers, empty until the other ``host`` names it.
    ``cutter`` becomes the exchange's if the attempt goes on. ``reported_load`` is the
    load that the target reported, ``ended_with_connection`` says that its answer had
    no framing and ended with its connection. ``extra_headers`` are added to the
    answer for the host that relayed the request. ``silent_since`` is when the last
    data came, while the attempt is silent; an ``ignored`` one fell silent while its
    target answered others. ``rivals`` are all running attempts of the request, and
    ``replaced`` says that one of them has answered it.
    """

    exchange: Exchange
    placed: Placement
    number: int
    target: str
    version: str
    host: str = ""
    cutter: EventSplitter = field(init=False)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    reported_load: ReportedLoad | None = None
    ended_with_connection: bool = False
    extra_headers: tuple[tuple[bytes, bytes], ...] = ()
    silent_since: float | None = None
    ignored: bool = False
    rivals: list[Attempt] = field(default_factory=list)
    replaced: bool = False
    outcome: SendOutcome = CANCELLED
    error: Exception | None = None

    def __post_init__(self) -> None:
        self.cutter = self.exchange.cutter.fork()

    @property
    def has_rivals(self) -> bool:
        """Whether another attempt may still answer the request."""
        return any(rival is not self for rival in self.rivals)

    def take_over(self) -> None:
        """
        Let this attempt alone go on with the answer, and end all others.

        Raises AttemptReplacedError if another one has done so before.
        """
        if self.replaced:
            raise AttemptReplacedError
        for rival in self.rivals:
            if rival is not self:
                rival.replaced = True
                rival.scope.cancel()
        self.rivals[:] = [self]
        self.exchange.cutter = self.cutter


def make_attempt(node: GatewayNode, exchange: Exchange, placed: Placement) -> Attempt:
    """Return an attempt of a request that is about to begin."""
    entry = placed.target.entry
    named = ("", "") if placed.is_remote else (entry.id, entry.version)
    return Attempt(exchange, placed, node.next_number(), *named)


class AttemptRace:
    """
    State: the attempts of one request.

    ``running`` are in progress, ``ended`` have ended and weren't taken yet.
    """

    def __init__(
        self,
        node: GatewayNode,
        exchange: Exchange,
        nursery: trio.Nursery,
        send: Callable[
            [GatewayNode, Attempt, Callable[[], None]], Awaitable[SendOutcome]
        ],
    ) -> None:
        self.running: list[Attempt] = []
        self.ended: list[Attempt] = []
        self._node = node
        self._exchange = exchange
        self._nursery = nursery
        self._send = send
        self._changed = trio.Event()
        self._placing: trio.CancelScope | None = None

    @property
    def needs_another(self) -> bool:
        """Whether all attempts that run are silent, and no end of one is unread."""
        return not self.ended and all(
            attempt.silent_since is not None for attempt in self.running
        )

    @property
    def is_over(self) -> bool:
        """Whether no attempt runs, and no end of one is unread."""
        return not (self.running or self.ended)

    def find_silent_s(self) -> float:
        """Return for how long all running attempts have been silent."""
        now = self._node.now()
        silent_s = (now - (each.silent_since or now) for each in self.running)
        return min(silent_s, default=0.0)

    def start(self, attempt: Attempt) -> None:
        """Start an attempt beside those that run."""
        self.running.append(attempt)
        attempt.rivals = self.running
        self._exchange.attempts.start()
        self._nursery.start_soon(self._run, attempt)

    def take_ended(self) -> list[Attempt]:
        """Return the attempts that have ended since the last call."""
        ended, self.ended = self.ended, []
        return ended

    async def wait(self, timeout_s: float) -> None:
        """Wait until an attempt ends, falls silent or goes on."""
        with trio.move_on_after(timeout_s):
            await self._changed.wait()
        self._changed = trio.Event()

    async def _run(self, attempt: Attempt) -> None:
        try:
            with attempt.scope:
                attempt.outcome = await self._send(
                    self._node, attempt, self._report_change
                )
        except AttemptReplacedError:
            attempt.replaced = True
        except CallerGoneError as error:
            attempt.error = error
        except Exception as error:
            if attempt.replaced or attempt.has_rivals:
                record_request_fault(self._node, self._exchange.request_head.id)
                attempt.outcome = FAULTY
            else:
                # The task that serves the request raises it.
                attempt.error = error
        finally:
            self._exchange.attempts.end(attempt.outcome.result)
            if attempt in self.running:
                self.running.remove(attempt)
            self.ended.append(attempt)
            self._report_change()

    @contextmanager
    def interrupt_at_change(self) -> Iterator[None]:
        """Cancel what is done in the block once an attempt goes on or ends."""
        with trio.CancelScope() as scope:
            self._placing = scope
            try:
                yield
            finally:
                self._placing = None

    def _report_change(self) -> None:
        self._changed.set()
        if self._placing is not None and not self.needs_another:
            self._placing.cancel()


def watch_silence(
    node: GatewayNode,
    attempt: Attempt,
    last_activity: Callable[[], float],
    on_change: Callable[[], None],
) -> Watch:
    """
    Return a function that watches an attempt in a block, with a limit in seconds.

    ``last_activity`` returns when the other side was last heard from. ``on_change`` is
    called when the attempt has been silent for longer, and when it goes on.
    """

    def report(since: float | None) -> None:
        _record_silence(node, attempt, since)
        on_change()

    return lambda limit_s: node.inactivity.watch(
        attempt.number, limit_s, last_activity, report
    )


def _record_silence(node: GatewayNode, attempt: Attempt, since: float | None) -> None:
    """Record that an attempt has been silent since a time, or goes on after that."""
    before, attempt.silent_since = attempt.silent_since, since
    exchange = attempt.exchange
    target = attempt.placed.target
    now = node.now()
    if since is None and before is not None:
        node.metrics.count("attempts_resumed_total")
        record_event(
            "attempt-resumed",
            request=exchange.request_head.id,
            target=attempt.target,
            silent_s=round(now - before, 3),
            others=attempt.has_rivals,
        )
    elif since is not None:
        if not attempt.placed.is_remote:
            attempt.ignored = is_active_elsewhere(target, since, now)
            if not attempt.ignored:
                target.health.record_silence(since, now)
        node.metrics.count("attempts_silent_total")
        record_event(
            "attempt-silent",
            request=exchange.request_head.id,
            target=attempt.target,
            away=target.region if attempt.placed.is_remote else "",
            silent_s=round(now - since, 3),
            target_heard_s_ago=find_heard_s_ago(target, now),
            events=attempt.cutter.event_count,
            left_s=round(exchange.deadline - now, 3),
        )
