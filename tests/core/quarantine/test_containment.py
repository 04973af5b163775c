from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from functools import partial

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from lycheepath.core.quarantine.arbiter import (
    QUARANTINE_S,
    Arbiter,
    TrialLease,
    find_arbiter,
)
from lycheepath.core.quarantine.containment import (
    MASS_FAILURE_TARGETS,
    Containment,
    QuarantineInvariantError,
    QuarantineStatus,
    rank_trial_targets,
)
from lycheepath.core.quarantine.evidence import (
    CrashReport,
    QuarantineDecision,
    TargetDeath,
)
from lycheepath.core.quarantine.fingerprints import UNBOUND_SCOPE, make_fingerprints
from lycheepath.core.reasons import Absent
from tests.core.actions.environments import KEYS
from tests.core.randomised import run_machine

HOSTS = ("h1", "h2", "h3")
TARGETS = ("t1", "t2", "t3", "t4", "t5", "t6")
ANSWER_TOKENS = 8
TALLY: Counter[str] = Counter()
host_ids = st.sampled_from(HOSTS)
crash_points = st.sampled_from([0, 1, 4])
CRASHING = b"p" * 16
BOTH_DEATHS = frozenset({TargetDeath("t1", "1"), TargetDeath("t2", "1")})


def test_fingerprint_depends_on_key_scope_model_and_content() -> None:
    first = make_fingerprints(KEYS, "accra", "m", b"hello")
    others = [
        make_fingerprints(KEYS, UNBOUND_SCOPE, "m", b"hello"),
        make_fingerprints(KEYS, "accra", "n", b"hello"),
        make_fingerprints(KEYS, "accra", "m", b"hallo"),
    ]
    assert len(set(first)) == len(KEYS)
    assert all(not set(first) & set(other) for other in others)
    assert make_fingerprints(KEYS[::-1], "accra", "m", b"hello") == first[::-1]


def test_quarantine_ends_once_and_leaves_a_suspect() -> None:
    containment = Containment()
    decision = QuarantineDecision(CRASHING, UNBOUND_SCOPE, QUARANTINE_S, BOTH_DEATHS)
    assert containment.apply_decision(decision, 0.0)
    for now in (1.0, 100.0, QUARANTINE_S - 1.0):
        refusal = containment.admit((CRASHING,), now)
        assert isinstance(refusal, Absent)
        assert refusal.retry_after_s == QUARANTINE_S - now
        assert not containment.apply_decision(decision, now)
    assert containment.admit((CRASHING,), QUARANTINE_S) is QuarantineStatus.SUSPECT
    assert not containment.apply_decision(decision, QUARANTINE_S + 1.0)
    with pytest.raises(QuarantineInvariantError):
        containment.record_send("r", CRASHING, UNBOUND_SCOPE, "t3", trial=False)
    assert containment.admit((CRASHING,), 10_000.0) is QuarantineStatus.CLEAR
    assert len(containment) == 0


def test_decisions_on_bound_requests_stay_in_their_region() -> None:
    containment = Containment()
    bound = QuarantineDecision(CRASHING, "accra", QUARANTINE_S, BOTH_DEATHS)
    containment.apply_decision(bound, 0.0)
    assert len(containment.list_decisions("accra", 1.0)) == 1
    assert containment.list_decisions("tamale", 1.0) == ()


def test_mass_failure_alone_quarantines_no_request() -> None:
    arbiter, containment = Arbiter(), Containment()
    for number in range(6):
        containment.record_send(
            f"r{number}", CRASHING, UNBOUND_SCOPE, f"t{number}", trial=True
        )
    decisions = []
    for number in range(MASS_FAILURE_TARGETS):
        containment.record_target_death(f"x{number}", "1", 0.0)
    for number in range(2):
        _, reports = containment.record_target_death(f"t{number}", "1", 0.0, alone=True)
        decisions += [arbiter.add_report(report, 0.0) for report in reports]
    assert decisions == [None, None]
    _, reports = containment.record_target_death("t5", "1", 60.0, alone=True)
    assert arbiter.add_report(reports[0], 60.0) is not None


def test_trials_share_neither_request_nor_target() -> None:
    arbiter = Arbiter(lease_s=20.0)
    for grant in (
        partial(arbiter.grant_trial, CRASHING),
        partial(arbiter.grant_target, "t1"),
    ):
        assert isinstance(grant("h1/r1", 0.0), TrialLease)
        assert isinstance(grant("h1/r1", 15.0), TrialLease)
        assert isinstance(grant("h2/r2", 30.0), Absent)
        assert isinstance(grant("h2/r2", 35.0), TrialLease)
    arbiter.release_lease("t1", "h1/r1")
    assert isinstance(arbiter.grant_target("t1", "h1/r1", 36.0), Absent)
    arbiter.release_lease("t1", "h2/r2")
    assert isinstance(arbiter.grant_target("t1", "h1/r1", 36.0), TrialLease)


def test_decision_is_delayed_unless_the_request_was_alone() -> None:
    arbiter = Arbiter()
    report = CrashReport(CRASHING, UNBOUND_SCOPE, BOTH_DEATHS)
    assert arbiter.add_report(replace(report, alone=True), 0.0) is not None
    for explained, expected in (
        (frozenset[TargetDeath](), QuarantineDecision),
        (BOTH_DEATHS, TrialLease),
    ):
        arbiter = Arbiter()
        assert arbiter.add_report(report, 0.0) is None
        assert isinstance(arbiter.grant_trial(CRASHING, "h1/r1", 1.0), Absent)
        arbiter.mark_explained(explained, 1.0)
        assert isinstance(arbiter.grant_trial(CRASHING, "h1/r1", 2.0), expected)


def test_death_during_a_trial_quarantines_the_request_on_trial_at_once() -> None:
    containment, arbiter = Containment(), Arbiter()
    harmless = b"i" * 16
    containment.record_send("i1", harmless, UNBOUND_SCOPE, "t1", trial=False)
    containment.record_send("p1", CRASHING, UNBOUND_SCOPE, "t1", trial=False)
    _, reports = containment.record_target_death("t1", "1", 0.0)
    assert [arbiter.add_report(report, 0.0) for report in reports] == [None, None]
    containment.record_send("i2", harmless, UNBOUND_SCOPE, "t2", trial=True)
    while not containment.record_token("i2"):
        pass
    containment.record_send("p2", CRASHING, UNBOUND_SCOPE, "t2", trial=True)
    _, reports = containment.record_target_death("t2", "1", 1.0)
    decisions = {each.fingerprint: arbiter.add_report(each, 1.0) for each in reports}

    decision = decisions[CRASHING]
    assert decision is not None
    assert decisions[harmless] is None
    arbiter.mark_explained(decision.deaths, 1.0)
    assert isinstance(arbiter.grant_trial(harmless, "h1/i3", 4.0), TrialLease)


def test_trial_is_passed_beyond_the_point_of_the_death() -> None:
    containment = Containment()
    containment.record_send("r", CRASHING, UNBOUND_SCOPE, "t1", trial=False)
    assert not any(containment.record_token("r") for _ in range(6))
    containment.record_target_death("t1", "1", 0.0)
    containment.record_send("r", CRASHING, UNBOUND_SCOPE, "t2", trial=True)
    passed = [containment.record_token("r") for _ in range(10)]
    assert passed.index(True) == 7
    assert passed.count(True) == 1


def test_peer_report_puts_a_request_on_trial() -> None:
    containment = Containment()
    report = CrashReport(CRASHING, UNBOUND_SCOPE, frozenset({TargetDeath("t1", "1")}))
    assert containment.admit((CRASHING,), 0.0) is QuarantineStatus.CLEAR
    assert containment.apply_report(report, 0.0)
    assert not containment.apply_report(report, 1.0)
    assert containment.admit((b"other", CRASHING), 1.0) is QuarantineStatus.SUSPECT


def test_memory_is_bounded() -> None:
    containment = Containment(max_quarantined=10, max_suspects=10)
    receiver = Containment(max_suspects=10)
    arbiter = Arbiter(max_tracked=10)
    for number in range(100):
        fingerprint = number.to_bytes(16, "big")
        containment.record_send("r", fingerprint, UNBOUND_SCOPE, "t", trial=True)
        _, reports = containment.record_target_death("t", str(number), number)
        receiver.apply_report(reports[0], number)
        arbiter.add_report(reports[0], number)
        arbiter.grant_target(f"t{number}", "h", number)
        decision = QuarantineDecision(
            fingerprint, UNBOUND_SCOPE, 9.0 + number, BOTH_DEATHS
        )
        containment.apply_decision(decision, number)
    assert len(containment) <= 20
    assert len(receiver) <= 10
    assert len(arbiter) <= 20


@dataclass(slots=True, eq=False)
class Request:
    """One attempt of a request; a crashing one has ``crash_at``, a token number."""

    id: str
    host: str
    fingerprint: bytes
    crash_at: int | None
    target: str = ""
    delivered: int = 0
    generated: int = 0
    trial: bool = False
    outcome: str = ""


@dataclass(slots=True)
class Site:
    """One host: its containment, its arbiter and the updates it has not applied."""

    containment: Containment = field(default_factory=Containment)
    arbiter: Arbiter = field(default_factory=Arbiter)
    updates: list[QuarantineDecision | CrashReport] = field(default_factory=list)


class ContainmentMachine(RuleBasedStateMachine):
    """Crashing and harmless requests, sent through several hosts at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.crash_tokens: list[int] = []
        self.sites = {host: Site() for host in HOSTS}
        self.requests: list[Request] = []
        self.deaths: dict[bytes, set[TargetDeath]] = {}
        self.unaware_hosts: dict[bytes, set[str]] = {}
        self.instances = Counter[str]()

    @initialize(crash_points=st.lists(crash_points, min_size=1, max_size=2))
    def choose_crash_tokens(self, crash_points: list[int]) -> None:
        self.crash_tokens = crash_points

    @rule(
        poisoned=st.lists(st.tuples(st.integers(0, 1), host_ids), max_size=2),
        harmless=st.lists(host_ids, min_size=1, max_size=5),
        indices=st.lists(st.integers(0, 40), max_size=40),
        spread=st.booleans(),
    )
    def serve(
        self,
        poisoned: list[tuple[int, str]],
        harmless: list[str],
        indices: list[int],
        spread: bool,
    ) -> None:
        for host in harmless:
            self.send(host, f"i{len(self.requests)}", None)
        for index, host in poisoned:
            number = index % len(self.crash_tokens)
            self.send(host, f"p{number}", self.crash_tokens[number])
        self.run(indices)
        if spread:
            for host in HOSTS:
                self.apply_updates(host)

    def send(self, host: str, name: str, crash_at: int | None) -> None:
        fingerprint = make_fingerprints(KEYS, UNBOUND_SCOPE, "m", name.encode())[0]
        request_id = f"r{len(self.requests)}"
        self.requests.append(Request(request_id, host, fingerprint, crash_at))

    def run(self, indices: list[int]) -> None:
        for index in indices:
            self.now += 0.05
            open_requests = [each for each in self.requests if not each.outcome]
            if open_requests:
                self.advance(open_requests[index % len(open_requests)])

    def apply_updates(self, host: str) -> None:
        site = self.sites[host]
        for item in site.updates:
            if isinstance(item, CrashReport):
                site.containment.apply_report(item, self.now)
            else:
                site.containment.apply_decision(item, self.now)
                site.arbiter.mark_explained(item.deaths, self.now)
        site.updates.clear()

    def advance(self, request: Request) -> None:
        if not request.target:
            self.send_to_target(request)
            return
        if request.crash_at == request.generated:
            self.crash(request)
            return
        request.generated += 1
        request.delivered += 1
        if self.sites[request.host].containment.record_token(request.id):
            self.release_lease(request, request.target)
        if request.delivered == ANSWER_TOKENS:
            self.end(request, "complete")

    def send_to_target(self, request: Request) -> None:
        containment = self.sites[request.host].containment
        status = containment.admit((request.fingerprint,), self.now)
        if isinstance(status, Absent):
            self.end(request, "refused")
            return
        loads = Counter(dict.fromkeys(TARGETS, 0))
        loads.update(each.target for each in self.requests if each.target)
        if status is QuarantineStatus.SUSPECT:
            request.target = self.request_trial(request, loads)
            request.trial = bool(request.target)
        else:
            same = containment.find_running_copy(request.fingerprint)
            request.target = same or rank_trial_targets(loads, ())[0]
            hosts = self.unaware_hosts.setdefault(request.fingerprint, set())
            hosts.add(request.host)
        if request.target:
            request.generated = 0
            containment.record_send(
                request.id,
                request.fingerprint,
                UNBOUND_SCOPE,
                request.target,
                request.trial,
            )

    def request_trial(self, request: Request, loads: Counter[str]) -> str:
        holder = f"{request.host}/{request.id}"
        arbiter = self.arbiter(request.fingerprint.hex())
        trial = arbiter.grant_trial(request.fingerprint, holder, self.now)
        if isinstance(trial, QuarantineDecision):
            TALLY["quarantined"] += 1
            self.sites[request.host].updates.append(trial)
        if not isinstance(trial, TrialLease):
            return ""
        for target in rank_trial_targets(loads, ()):
            granted = self.arbiter(target).grant_target(target, holder, self.now)
            if isinstance(granted, TrialLease):
                return target
        return ""

    def arbiter(self, subject: str) -> Arbiter:
        host = find_arbiter(HOSTS, subject)
        assert isinstance(host, str)
        return self.sites[host].arbiter

    def release_leases(self, request: Request) -> None:
        self.release_lease(request, request.fingerprint.hex())
        self.release_lease(request, request.target)

    def release_lease(self, request: Request, subject: str) -> None:
        self.arbiter(subject).release_lease(subject, f"{request.host}/{request.id}")

    def crash(self, crashing: Request) -> None:
        target = crashing.target
        self.instances[target] += 1
        death = TargetDeath(target, str(self.instances[target]))
        self.deaths.setdefault(crashing.fingerprint, set()).add(death)
        TALLY["deaths"] += 1
        self.now += 0.3
        affected = [each for each in self.requests if each.target == target]
        for request in affected:
            self.release_leases(request)
            request.target, request.trial = "", False
        for host, site in self.sites.items():
            _, reports = site.containment.record_target_death(
                target, death.instance, self.now, alone=len(affected) == 1
            )
            for report in reports:
                self.report(host, report)

    def report(self, host: str, report: CrashReport) -> None:
        arbiter = self.arbiter(report.fingerprint.hex())
        decision = arbiter.add_report(report, self.now)
        for other, site in self.sites.items():
            if other != host:
                site.updates.append(report)
            if decision is not None:
                site.updates.append(decision)
        if decision is not None:
            TALLY["quarantined"] += 1
            self.apply_updates(host)

    def end(self, request: Request, outcome: str) -> None:
        TALLY[f"crashing_{outcome}" if request.crash_at is not None else outcome] += 1
        if request.trial:
            self.release_leases(request)
        self.sites[request.host].containment.record_end(request.id)
        request.target, request.outcome = "", outcome

    def teardown(self) -> None:
        """
        Check that all requests end, that crashing ones took few targets, and
        that no harmless one was refused.
        """
        for _ in range(60 * len(self.requests) + 60):
            for host in HOSTS:
                self.apply_updates(host)
            self.advance_all()
            self.now += 0.1
            if all(each.outcome for each in self.requests):
                break
        assert all(each.outcome for each in self.requests)
        refused = [
            request
            for request in self.requests
            if request.crash_at is None and request.outcome != "complete"
        ]
        TALLY["harmless_refused"] += len(refused)
        unaware = max((len(hosts) for hosts in self.unaware_hosts.values()), default=0)
        assert not refused or len(self.deaths) > 1 or unaware > 1
        for fingerprint, deaths in self.deaths.items():
            unaware_hosts = len(self.unaware_hosts[fingerprint])
            TALLY[f"lost_{len(deaths)}_unaware_{unaware_hosts}"] += 1
            other_crashing = len(self.deaths) - 1
            assert len(deaths) <= max(2, 1 + unaware_hosts) + other_crashing

    def advance_all(self) -> None:
        for request in [each for each in self.requests if not each.outcome]:
            self.now += 0.01
            self.advance(request)


def test_containment_loses_few_targets_and_no_harmless_request() -> None:
    run_machine(ContainmentMachine, TALLY)
    for kind in ("complete", "quarantined", "crashing_refused", "lost_2_unaware_1"):
        assert TALLY[kind], kind
