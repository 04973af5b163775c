"""
Checks across the members of a document: references, repeats, contradictions.

The checks run on a draft in which bad members are ``INVALID``, so that one
reading reports everything. A check that could blame a good member for a bad
one (a reference to a record that could not be read) looks at the raw ids.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from .model import (
    Host,
    Issuers,
    Limit,
    Link,
    Model,
    Operation,
    Region,
    ResidencyRule,
    Service,
    Target,
    TargetKind,
    Weights,
    WeightStore,
    Zone,
)
from .schema import Place, Report

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

MAX_RESIDENCY_RULES = 500
WEIGHTS_TOLERANCE = 1e-6

Record = TypeVar("Record")


@dataclass(frozen=True, slots=True)
class Draft:
    """
    A document between reading and checking.

    ``raw`` is the JSON object; ``members`` holds what was read of it, with
    ``INVALID`` in the place of what was not.
    """

    raw: dict[str, object]
    members: dict[str, object]

    def walk(self, name: str, kind: type[Record]) -> Iterator[tuple[Place, Record]]:
        """Yield the good records of a list with their places."""
        parent = Place(None, name)
        records = self.members.get(name)
        if not isinstance(records, tuple):
            return
        for index, record in enumerate(records):
            if isinstance(record, kind):
                yield Place(parent, index), record

    def list_records(self, name: str, kind: type[Record]) -> list[Record]:
        """Return the good records of a list."""
        records = self.members.get(name)
        if not isinstance(records, tuple):
            return []
        return [record for record in records if isinstance(record, kind)]

    def get(self, name: str, kind: type[Record]) -> Record | None:
        """Return a single good record."""
        record = self.members.get(name)
        return record if isinstance(record, kind) else None

    def list_raw(self, name: str, member: str = "id") -> list[str]:
        """Return a member of each record of a list, of unreadable records too."""
        records = self.raw.get(name)
        if not isinstance(records, list):
            return []
        values = [record.get(member) for record in records if isinstance(record, dict)]
        return [value for value in values if isinstance(value, str)]

    def list_raw_ids(self, name: str) -> frozenset[str]:
        """Return the ids of a list, of unreadable records too."""
        return frozenset(self.list_raw(name))

    def is_whole(self, name: str, kind: type[object]) -> bool:
        """Tell whether every record of a list was read; absent lists are whole."""
        records = self.members.get(name, ())
        return isinstance(records, tuple) and all(
            isinstance(record, kind) for record in records
        )


def check_consistency(draft: Draft, report: Report) -> None:
    """Add the findings that concern more than one member."""
    for check in _CHECKS:
        check(draft, report)


def _check_repeats(draft: Draft, report: Report) -> None:
    for name, member in _IDENTITIES:
        values = draft.list_raw(name, member)
        if len(set(values)) < len(values):
            _report_repeats(_list_keys(draft, name, member), member, report)
    pairs = (
        (Place(place, "regions"), " and ".join(sorted(link.regions)))
        for place, link in draft.walk("links", Link)
    )
    _report_repeats(pairs, "regions", report)
    for place, service in draft.walk("services", Service):
        _check_operations(place, service, report)


def _check_operations(place: Place, service: Service, report: Report) -> None:
    calls = (
        (Place(Place(place, "operations"), index), _name_operation(operation))
        for index, operation in enumerate(service.operations)
    )
    _report_repeats(calls, "method and path_prefix", report)


def _name_operation(operation: Operation) -> str:
    return f"{operation.method} {operation.path_prefix}"


def _list_keys(draft: Draft, name: str, member: str) -> Iterator[tuple[Place, str]]:
    records = draft.raw.get(name)
    if not isinstance(records, list):
        return
    for index, record in enumerate(records):
        value = record.get(member) if isinstance(record, dict) else None
        if isinstance(value, str):
            yield Place(Place(Place(None, name), index), member), value


def _report_repeats(
    keys: Iterable[tuple[Place, str]], member: str, report: Report
) -> None:
    first: dict[str, Place] = {}
    for place, key in keys:
        if key in first:
            report.add(
                place,
                f"the {member} {key} is already used at {first[key].write_pointer()}",
                "Give each its own, or remove one",
            )
        else:
            first[key] = place


def _check_references(draft: Draft, report: Report) -> None:
    regions = draft.list_raw_ids("regions")
    zones = draft.list_raw_ids("zones")
    models = draft.list_raw_ids("models")
    services = draft.list_raw_ids("services")
    for place, zone in draft.walk("zones", Zone):
        _check_id(place, "region", zone.region, regions, report)
    for place, host in draft.walk("hosts", Host):
        _check_id(place, "zone", host.zone, zones, report)
    for place, target in draft.walk("targets", Target):
        _check_id(place, "zone", target.zone, zones, report)
        _check_ids(place, "models", target.models, models, report)
        if target.service:
            _check_id(place, "service", target.service, services, report)
    for place, link in draft.walk("links", Link):
        _check_ids(place, "regions", link.regions, regions, report)
    for place, rule in draft.walk("residency", ResidencyRule):
        _check_id(place, "region", rule.region, regions, report)
        _check_ids(place, "models", rule.models, models, report)
        _check_ids(place, "services", rule.services, services, report)
    store = draft.get("weight_store", WeightStore)
    if store is not None:
        place = Place(None, "weight_store")
        _check_id(place, "region", store.region, regions, report)


def _check_issuers(draft: Draft, report: Report) -> None:
    issuers = draft.get("issuers", Issuers)
    if issuers is None:
        return
    place = Place(None, "issuers")
    hosts = draft.list_raw_ids("hosts")
    _check_ids(place, "hosts", issuers.hosts, hosts, report)
    for index, host in enumerate(issuers.ended):
        if host not in issuers.previous:
            report.add(
                Place(Place(place, "ended"), index),
                f"{host} is not one of the previous issuers",
                "Name in ended only hosts that previous names",
            )


def _check_ids(
    place: Place,
    member: str,
    ids: tuple[str, ...],
    known: frozenset[str],
    report: Report,
) -> None:
    for index, id_ in enumerate(ids):
        if id_ not in known:
            _report_reference(Place(Place(place, member), index), member, id_, report)


def _check_id(
    place: Place, member: str, id_: str, known: frozenset[str], report: Report
) -> None:
    if id_ not in known:
        _report_reference(Place(place, member), member, id_, report)


def _report_reference(place: Place, member: str, id_: str, report: Report) -> None:
    kind = member.removesuffix("s")
    report.add(
        place,
        f"there is no {kind} {id_} in this document",
        f"Add it under {kind}s, or name one that is there",
    )


def _check_target_kinds(draft: Draft, report: Report) -> None:
    for place, target in draft.walk("targets", Target):
        if target.kind is TargetKind.RUNNER:
            _check_runner(place, target, report)
        else:
            _check_service_target(place, target, report)


def _check_runner(place: Place, target: Target, report: Report) -> None:
    if not target.models:
        report.add(
            Place(place, "models"), "a runner serves no model", "Name its models"
        )
    if target.service:
        report.add(
            Place(place, "service"),
            "a runner can't provide a service",
            'Remove service, or say kind "service"',
        )


def _check_service_target(place: Place, target: Target, report: Report) -> None:
    if not target.service:
        report.add(
            Place(place, "service"),
            "a target of kind service names no service",
            "Name its service",
        )
    if target.models:
        report.add(
            Place(place, "models"),
            "a target of kind service can't serve models",
            'Remove models, or say kind "runner"',
        )


def _check_links(draft: Draft, report: Report) -> None:
    for place, link in draft.walk("links", Link):
        if link.regions[0] == link.regions[1]:
            report.add(
                Place(place, "regions"),
                "a link joins a region with itself",
                "Name two regions",
            )


def _check_weights(draft: Draft, report: Report) -> None:
    weights = draft.get("weights", Weights)
    if weights is None:
        return
    total = weights.cost + weights.tail_latency
    if abs(total - 1) > WEIGHTS_TOLERANCE:
        report.add(
            Place(None, "weights"),
            f"cost and tail_latency sum to {total:g}",
            "Make them sum to 1",
        )


def _check_presence(draft: Draft, report: Report) -> None:
    for name in ("regions", "zones", "hosts"):
        if draft.members.get(name) == ():
            report.add(Place(None, name), f"{name} is empty", "Name at least one")


def _check_region_hosts(draft: Draft, report: Report) -> None:
    if not (draft.is_whole("hosts", Host) and draft.is_whole("zones", Zone)):
        return
    zones = _map_zones(draft)
    served = {zones.get(host.zone) for host in draft.list_records("hosts", Host)}
    for place, region in draft.walk("regions", Region):
        if region.id not in served:
            report.add(
                place,
                f"region {region.id} has no host",
                "Add a host in one of its zones, or remove the region",
            )


def _check_served(draft: Draft, report: Report) -> None:
    if not draft.is_whole("targets", Target):
        return
    targets = draft.list_records("targets", Target)
    models = {model for target in targets for model in target.models}
    services = {target.service for target in targets}
    for place, model in draft.walk("models", Model):
        if model.id not in models:
            report.add(
                place,
                f"no target serves the model {model.id}",
                "Name it in a runner's models, or remove it",
            )
    for place, service in draft.walk("services", Service):
        if service.id not in services:
            report.add(
                place,
                f"no target provides the service {service.id}",
                "Add a target for it, or remove it",
            )


def _check_residency(draft: Draft, report: Report) -> None:
    rules = list(draft.walk("residency", ResidencyRule))
    if not rules:
        return
    for place, rule in rules:
        _check_selectors(place, rule, report)
    if draft.is_whole("targets", Target) and draft.is_whole("zones", Zone):
        served = _list_served(draft)
        for place, rule in rules:
            _check_rule_served(place, rule, served, report)
    if len(rules) > MAX_RESIDENCY_RULES:
        report.add(
            Place(None, "residency"),
            f"there are {len(rules)} rules, over the limit of {MAX_RESIDENCY_RULES}",
            "Name the teams of one region in one rule",
        )
        return
    _check_rule_conflicts(rules, report)


def _check_selectors(place: Place, rule: ResidencyRule, report: Report) -> None:
    if not (rule.teams or rule.models or rule.services):
        report.add(place, "the rule binds nothing", "Name teams, models or services")
    if rule.models and rule.services:
        report.add(
            place,
            "no request is for a model and a service at once, so the rule binds nothing",
            "Make one rule for the models and one for the services",
        )


@dataclass(frozen=True, slots=True)
class _Served:
    """What the targets of the regions serve, as pairs of region and id."""

    models: frozenset[tuple[str, str]]
    services: frozenset[tuple[str, str]]
    regions: frozenset[str]


def _list_served(draft: Draft) -> _Served:
    zones = _map_zones(draft)
    models: set[tuple[str, str]] = set()
    services: set[tuple[str, str]] = set()
    for target in draft.list_records("targets", Target):
        region = zones.get(target.zone, "")
        models.update((region, model) for model in target.models)
        services.add((region, target.service))
    regions = {region for region, _ in (*models, *services)}
    return _Served(frozenset(models), frozenset(services), frozenset(regions))


def _check_rule_served(
    place: Place, rule: ResidencyRule, served: _Served, report: Report
) -> None:
    advice = "Add a target there, or change the rule"
    if rule.region not in served.regions:
        message = f"region {rule.region} has no target for the requests bound to it"
        report.add(place, message, advice)
        return
    for index, model in enumerate(rule.models):
        if (rule.region, model) not in served.models:
            message = f"no target in region {rule.region} serves the model {model}"
            report.add(Place(Place(place, "models"), index), message, advice)
    for index, service in enumerate(rule.services):
        if (rule.region, service) not in served.services:
            message = f"no target in region {rule.region} provides {service}"
            report.add(Place(Place(place, "services"), index), message, advice)


def _check_rule_conflicts(
    rules: list[tuple[Place, ResidencyRule]], report: Report
) -> None:
    selectors = [
        (frozenset(rule.teams), frozenset(rule.models), frozenset(rule.services))
        for _, rule in rules
    ]
    for later, (place, rule) in enumerate(rules):
        for earlier in range(later):
            other = rules[earlier][1]
            if other.region == rule.region:
                continue
            if _overlap(selectors[earlier], selectors[later]):
                report.add(
                    place,
                    f"a request can be bound to {rule.region} by {rule.id} "
                    f"and to {other.region} by {other.id}",
                    "Make the two rules select different requests",
                )


def _overlap(
    first: tuple[frozenset[str], frozenset[str], frozenset[str]],
    second: tuple[frozenset[str], frozenset[str], frozenset[str]],
) -> bool:
    """Tell whether one request can match the selectors of two rules."""
    models = first[1] | second[1]
    services = first[2] | second[2]
    if models and services:
        return False
    return all(
        not left or not right or not left.isdisjoint(right)
        for left, right in zip(first, second, strict=True)
    )


def _check_limits(draft: Draft, report: Report) -> None:
    for place, limit in draft.walk("limits", Limit):
        if limit.tokens_per_s > 0 and limit.burst_tokens < 1:
            report.add(
                Place(place, "burst_tokens"),
                "a burst under one token lets no request through",
                "Give burst_tokens of at least one request's tokens",
            )


def _map_zones(draft: Draft) -> dict[str, str]:
    return {zone.id: zone.region for zone in draft.list_records("zones", Zone)}


_IDENTITIES = (
    ("regions", "id"),
    ("zones", "id"),
    ("hosts", "id"),
    ("hosts", "callers_address"),
    ("hosts", "peers_address"),
    ("targets", "id"),
    ("targets", "address"),
    ("models", "id"),
    ("services", "id"),
    ("residency", "id"),
    ("limits", "team"),
)

_CHECKS: tuple[Callable[[Draft, Report], None], ...] = (
    _check_presence,
    _check_repeats,
    _check_references,
    _check_issuers,
    _check_target_kinds,
    _check_links,
    _check_weights,
    _check_region_hosts,
    _check_served,
    _check_residency,
    _check_limits,
)
