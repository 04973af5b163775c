from __future__ import annotations

from collections import Counter

from lycheepath.core.membership.polling import plan_polling
from lycheepath.core.membership.rendezvous import POLLERS_PER_TARGET

HOSTS = [f"a-{number}" for number in range(220)]
TARGETS = [f"runner-{number}" for number in range(680)]
MOST_POLLS = 24


def test_polling_covers_every_target_twice_and_shares_the_work() -> None:
    plans = {host: plan_polling(host, HOSTS, HOSTS, TARGETS) for host in HOSTS}
    polled = Counter(
        target for plan in plans.values() for target in plan.polled_targets
    )
    assert polled == dict.fromkeys(TARGETS, POLLERS_PER_TARGET)
    assert max(len(plan.polled_targets) for plan in plans.values()) <= MOST_POLLS
    for host, plan in plans.items():
        assert host not in plan.recipients
        assert all(plans[mate].used == plan.used for mate in plan.recipients)


def test_polling_is_taken_over_from_a_dead_host() -> None:
    before = plan_polling(HOSTS[0], HOSTS, HOSTS, TARGETS)
    dead = before.recipients[0]
    lost = plan_polling(dead, HOSTS, HOSTS, TARGETS).polled_targets
    live = [host for host in HOSTS if host != dead]
    plans = [
        plan_polling(host, HOSTS, live, TARGETS)
        for host in (HOSTS[0], *before.recipients[1:])
    ]
    polled = Counter(target for plan in plans for target in plan.polled_targets)
    assert all(polled[target] == POLLERS_PER_TARGET for target in lost)
    assert all(dead not in plan.recipients for plan in plans)


def test_polling_reaches_other_regions_while_targets_are_few() -> None:
    few = plan_polling("a-0", HOSTS[:3], HOSTS[:3], ["one"], ["away"])
    assert few.used == ("one", "away")
    many = plan_polling("a-0", HOSTS[:3], HOSTS[:3], TARGETS, ["away"])
    assert "away" not in many.used
