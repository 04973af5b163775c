"""
Measures the computation of readers, contacts and polling plans by fleet size.

    python -m bench.membership.plans
"""

from __future__ import annotations

import json
import time
from statistics import median
from typing import TYPE_CHECKING

from lycheepath.core.membership.polling import plan_polling
from lycheepath.core.membership.rendezvous import computed_contacts, computed_readers

from .core import TARGETS_PER_HOST, make_zones
from .network import make_hosts

if TYPE_CHECKING:
    from collections.abc import Callable

REGIONS = 10
HOST_COUNTS = (300, 1000, 2200)
REPEATS = 5


def time_ms(call: Callable[[], object]) -> float:
    """Return the median CPU time of ``call`` in milliseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        call()
        times.append(time.process_time() - started)
    return round(1000 * median(times), 2)


def measure(host_count: int) -> dict[str, float]:
    """Return the CPU times for a host in the largest region of a fleet."""
    hosts = list(make_hosts(host_count, make_zones(REGIONS)).values())
    local_host = hosts[0]
    region = [host.id for host in hosts if host.region == local_host.region]
    target_count = round(len(region) * TARGETS_PER_HOST)
    targets = [f"{local_host.region}-runner-{number}" for number in range(target_count)]
    return {
        "hosts": host_count,
        "hosts_of_region": len(region),
        "targets_of_region": target_count,
        "readers_ms": time_ms(lambda: computed_readers(hosts, local_host.zone)),
        "contacts_ms": time_ms(lambda: computed_contacts(hosts, local_host.region)),
        "polling_ms": time_ms(
            lambda: plan_polling(local_host.id, region, set(region), targets)
        ),
    }


def main() -> None:
    """Measure and print the results."""
    print(json.dumps([measure(host_count) for host_count in HOST_COUNTS], indent=1))


if __name__ == "__main__":
    main()
