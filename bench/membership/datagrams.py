"""
Measures what a datagram costs a real process before it is decoded.

    python -m bench.membership.datagrams

Two host processes run; one of them is sent datagrams without a valid tag at
several rates. The slope is the cost of waking for a datagram and refusing it.
"""

from __future__ import annotations

import json
import socket
import time
from statistics import linear_regression

from lycheepath.adapters.peers.socket import split_address

from .fleet import Fleet, HostProcess

RATES_PER_S = (0, 5, 20, 50, 100)
SECONDS = 8.0
SETTLE_S = 4.0
GARBAGE = b"\x01" * 200


def measure(one: HostProcess, rate: int) -> tuple[float, float]:
    """Return datagrams received a second and processor time in ms a second."""
    address = split_address(one.host.peers_address)
    before = one.ask("stats")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            if rate:
                sender.sendto(GARBAGE, address)
            time.sleep(1 / max(rate, 2))
    after = one.ask("stats")
    seconds = after["at"] - before["at"]
    count = (
        after["traffic"]["received_datagrams"] - before["traffic"]["received_datagrams"]
    )
    return count / seconds, 1000 * (after["cpu_s"] - before["cpu_s"]) / seconds


def main() -> None:
    """Measure and print."""
    with Fleet(2, {"a": "a"}) as fleet:
        for host_id in fleet.hosts:
            fleet.start(host_id)
        time.sleep(SETTLE_S)
        one = next(iter(fleet.running.values()))
        points = [measure(one, rate) for rate in RATES_PER_S]
    rates = [rate for rate, _ in points]
    times = [spent for _, spent in points]
    each, fixed = linear_regression(rates, times)
    print(
        json.dumps(
            {
                "received_per_s": [round(rate, 1) for rate in rates],
                "cpu_ms_per_s": [round(spent, 2) for spent in times],
                "ms_per_datagram": round(each, 3),
                "ms_per_s_at_rest": round(fixed, 2),
            }
        )
    )


if __name__ == "__main__":
    main()
