from __future__ import annotations

from collections import Counter

from bench.membership.network import make_hosts
from lycheepath.core.membership.rendezvous import (
    HOSTS_PER_CELL,
    cell_of_host,
    cell_of_target,
    computed_cell,
    computed_contacts,
    computed_pollers,
)

ZONES = {"a1": "a", "a2": "a", "b1": "b"}
HOSTS = make_hosts(300, ZONES)
IDS = sorted(host.id for host in HOSTS.values() if host.region == "a")


def test_contacts_change_by_the_host_that_left() -> None:
    hosts = list(HOSTS.values())
    before = computed_contacts(hosts, "a")
    after = computed_contacts([host for host in hosts if host.id != before[0]], "a")
    assert set(before[1:]) < set(after)
    assert all(HOSTS[host_id].region == "a" for host_id in after)


def test_cells_split_the_region_and_agree_with_their_members() -> None:
    cells = {computed_cell(host_id, IDS) for host_id in IDS}
    assert sorted(host_id for cell in cells for host_id in cell) == IDS
    assert max(map(len, cells)) <= 3 * HOSTS_PER_CELL
    assert len({cell_of_host(host_id, len(IDS)) for host_id in IDS}) == len(cells)
    targets = Counter(cell_of_target(f"runner-{n}", len(IDS)) for n in range(680))
    assert len(targets) == len(cells)


def test_pollers_share_the_targets_evenly() -> None:
    cell = computed_cell(IDS[0], IDS)
    polled: Counter[str] = Counter()
    for number in range(400):
        polled.update(computed_pollers(f"runner-{number}", cell))
    assert set(polled) == set(cell)
    assert max(polled.values()) < 3 * min(polled.values())
