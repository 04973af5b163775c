"""
Runs one host's membership on a real UDP socket, without the rest of a host.

Reads its configuration from the command line, commands as JSON lines from
standard input, and prints events as JSON lines. Each event has the time of the
monotonic clock that all processes of the machine share. Commands::

    {"do": "value", "name": "environment/x", "revision": 5}
    {"do": "leaving"}   {"do": "goodbye"}   {"do": "members"}   {"do": "stats"}
    {"do": "cut", "send": ["127.0.0.1:7001"], "receive": ["127.0.0.1:7002"]}
    {"do": "loss", "share": 0.2}
    {"do": "news", "target": "runner-1"}
"""

from __future__ import annotations

import json
import resource
import sys
import time
from argparse import ArgumentParser
from random import Random
from typing import TYPE_CHECKING, Any

import trio

from lycheepath.adapters.peers.socket import PeerRunner
from lycheepath.core.gossip.updates import pack_target_draining
from lycheepath.core.gossip.values import ValueDigest, digest_content
from lycheepath.core.membership.actions import (
    Action,
    Joined,
    MemberChanged,
    PauseDetected,
    Superseded,
    UpdateReceived,
    ValueAnnounced,
)
from lycheepath.core.membership.model import Member, PublishedHost
from lycheepath.core.membership.node import Membership
from lycheepath.core.membership.options import Options
from lycheepath.host.settings import PeerKey

if TYPE_CHECKING:
    from argparse import Namespace
    from collections.abc import Callable


class NodeProcess:
    """The membership of the process, its commands and its events."""

    def __init__(self, arguments: Namespace) -> None:
        self._random = Random()
        self._loss = 0.0
        self._cut_send: set[str] = set()
        self._cut_receive: set[str] = set()
        self._published = tuple(
            PublishedHost(*fields) for fields in json.loads(arguments.hosts)
        )
        local_host = next(host for host in self._published if host.id == arguments.id)
        member = Member(
            local_host.id,
            arguments.incarnation or time.time_ns(),
            peers_address=local_host.peers_address,
            callers_address=local_host.callers_address,
            zone=local_host.zone,
            region=local_host.region,
        )
        self._membership = Membership(member, Options(), Random(), trio.current_time())
        self._runner = PeerRunner(
            self._membership,
            local_host.peers_address,
            (PeerKey("k", arguments.key.encode()),),
            self._emit_action,
            may_send=self._may_send,
            may_receive=lambda address: address not in self._cut_receive,
        )
        self._commands: dict[str, Callable[[dict[str, Any]], None]] = {
            "value": self._set_value,
            "leaving": lambda command: self._run_operation(
                self._membership.start_draining
            ),
            "goodbye": lambda command: self._run_operation(self._membership.leave),
            "members": self._print_members,
            "stats": self._print_stats,
            "cut": self._set_cut,
            "loss": self._set_loss,
            "news": self._publish_update,
        }

    async def run(self) -> None:
        """Run until standard input is closed."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._runner.run)
            start = self._membership.start((), self._published, trio.current_time())
            self._runner.act(start)
            emit("started", id=self._membership.local_member.id)
            await self._read_commands()
            nursery.cancel_scope.cancel()

    async def _read_commands(self) -> None:
        stream = trio.lowlevel.FdStream(sys.stdin.fileno())
        rest = b""
        async for chunk in stream:
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                command = json.loads(line)
                self._commands[command["do"]](command)

    def _run_operation(self, operation: Callable[[float], list[Action]]) -> None:
        self._runner.act(operation(trio.current_time()))

    def _emit_action(self, action: Action) -> None:
        if isinstance(action, MemberChanged):
            member = action.member
            emit(
                "member",
                id=member.id,
                state=member.state.name,
                leaving=member.leaving,
                incarnation=member.incarnation,
            )
        elif isinstance(action, ValueAnnounced):
            emit("value", name=action.value.name, revision=action.value.revision)
            self._run_operation(
                lambda now: self._membership.set_value(action.value, now)
            )
        elif isinstance(action, UpdateReceived):
            emit(
                "news",
                kind=action.update.update.kind.name,
                word=action.update.update.word,
            )
        elif isinstance(action, Joined | Superseded | PauseDetected):
            emit(type(action).__name__.lower())

    def _may_send(self, address: str) -> bool:
        return address not in self._cut_send and self._random.random() >= self._loss

    def _set_value(self, command: dict[str, Any]) -> None:
        content = f"{command['name']}/{command['revision']}".encode()
        value = ValueDigest(
            command["name"], command["revision"], digest_content(content)
        )
        emit("value", name=value.name, revision=value.revision)
        self._run_operation(lambda now: self._membership.set_value(value, now))

    def _publish_update(self, command: dict[str, Any]) -> None:
        update = pack_target_draining(
            command["target"], True, self._random.getrandbits(32)
        )
        self._membership.publish_update(update, trio.current_time())

    def _set_cut(self, command: dict[str, Any]) -> None:
        self._cut_send = set(command["send"])
        self._cut_receive = set(command["receive"])

    def _set_loss(self, command: dict[str, Any]) -> None:
        self._loss = command["share"]

    def _print_members(self, command: dict[str, Any]) -> None:
        members = {
            member.id: [member.state.name, member.incarnation]
            for member in self._membership.members()
        }
        regions = {
            held.summary.region: trio.current_time() - held.observed_at
            for held in self._membership.regions()
        }
        emit("members", members=members, regions=regions)

    def _print_stats(self, command: dict[str, Any]) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        emit(
            "stats",
            cpu_s=usage.ru_utime + usage.ru_stime,
            rss_kb=_resident_kb(),
            live=len([member for member in self._membership.members() if member.live]),
            traffic=dict(self._runner.counters),
            counters=dict(self._membership.counters()),
        )


def emit(event: str, **fields: Any) -> None:
    """Print an event as a JSON line."""
    print(json.dumps({"event": event, "at": time.monotonic(), **fields}), flush=True)


def _resident_kb() -> int:
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() // 1024


async def run_process(arguments: Namespace) -> None:
    """Run the host that the command line describes."""
    await NodeProcess(arguments).run()


def main() -> None:
    """Parse the command line and run the host."""
    parser = ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--hosts", required=True, help="JSON list of hosts")
    parser.add_argument("--key", default="a key that all hosts share")
    parser.add_argument("--incarnation", type=int, default=0)
    trio.run(run_process, parser.parse_args())


if __name__ == "__main__":
    main()
