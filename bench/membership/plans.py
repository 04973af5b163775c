"""
Measures the computed sets at three sizes: readers, contacts, polling plans.

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
SIZES = (300, 1000, 2200)
ROUNDS = 5


def time_ms(call: Callable[[], object]) -> float:
    """Return the median processor time of ``call`` in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        call()
        times.append(time.process_time() - started)
    return round(1000 * median(times), 2)


def measure(size: int) -> dict[str, float]:
    """Return the costs for a host of the largest region of ``size`` hosts."""
    hosts = list(make_hosts(size, make_zones(REGIONS)).values())
    own = hosts[0]
    region = [host.id for host in hosts if host.region == own.region]
    count = round(len(region) * TARGETS_PER_HOST)
    targets = [f"{own.region}-runner-{number}" for number in range(count)]
    return {
        "hosts": size,
        "hosts_of_region": len(region),
        "targets_of_region": count,
        "readers_ms": time_ms(lambda: computed_readers(hosts, own.zone)),
        "contacts_ms": time_ms(lambda: computed_contacts(hosts, own.region)),
        "polling_ms": time_ms(
            lambda: plan_polling(own.id, region, set(region), targets)
        ),
    }


def main() -> None:
    """Measure and print."""
    print(json.dumps([measure(size) for size in SIZES], indent=1))


if __name__ == "__main__":
    main()
