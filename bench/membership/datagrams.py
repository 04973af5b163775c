"""
Measures the cost of a datagram in a real process before it is decoded.

    python -m bench.membership.datagrams

Runs two host processes and sends datagrams without a valid tag to one of them
at several rates. The slope is the cost of waking up for a datagram and rejecting
it.
"""

from __future__ import annotations

import json
import socket
import time
from statistics import linear_regression

from lycheepath.adapters.peers.socket import split_address

from .fleet import Fleet, HostProcess

RATES_PER_S = (0, 5, 20, 50, 100)
DURATION_S = 8.0
SETTLE_S = 4.0
INVALID_DATAGRAM = b"\x01" * 200


def measure(target: HostProcess, rate: int) -> tuple[float, float]:
    """Return the datagrams received per second and the CPU time in ms per s."""
    address = split_address(target.host.peers_address)
    before = target.ask("stats")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        end = time.monotonic() + DURATION_S
        while time.monotonic() < end:
            if rate:
                sender.sendto(INVALID_DATAGRAM, address)
            time.sleep(1 / max(rate, 2))
    after = target.ask("stats")
    seconds = after["at"] - before["at"]
    count = (
        after["traffic"]["received_datagrams"] - before["traffic"]["received_datagrams"]
    )
    return count / seconds, 1000 * (after["cpu_s"] - before["cpu_s"]) / seconds


def main() -> None:
    """Measure and print the results."""
    with Fleet(2, {"a": "a"}) as fleet:
        for host_id in fleet.hosts:
            fleet.start(host_id)
        time.sleep(SETTLE_S)
        target = next(iter(fleet.running.values()))
        points = [measure(target, rate) for rate in RATES_PER_S]
    rates = [rate for rate, _ in points]
    cpu_ms = [spent_ms for _, spent_ms in points]
    per_datagram_ms, idle_ms = linear_regression(rates, cpu_ms)
    print(
        json.dumps(
            {
                "received_per_s": [round(rate, 1) for rate in rates],
                "cpu_ms_per_s": [round(spent_ms, 2) for spent_ms in cpu_ms],
                "ms_per_datagram": round(per_datagram_ms, 3),
                "ms_per_s_at_rest": round(idle_ms, 2),
            }
        )
    )


if __name__ == "__main__":
    main()
