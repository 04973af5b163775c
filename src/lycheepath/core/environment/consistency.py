"""
Checks across the members of a document: references, duplicates, contradictions.

The checks run on a draft in which invalid members are ``INVALID``, so that one
reading reports all findings. A reference to a record that could not be read is
not an error of the referring member, so such checks compare with the raw ids.
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
from .schema import Location, Report

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

MAX_RESIDENCY_RULES = 500
WEIGHTS_TOLERANCE = 1e-6

Record = TypeVar("Record")


@dataclass(frozen=True, slots=True)
class Draft:
    """
    A document that has been read but not yet checked.

    ``raw`` is the JSON object; ``members`` holds the typed values, with
    ``INVALID`` in place of those that could not be read.
    """

    raw: dict[str, object]
    members: dict[str, object]

    def iterate_records(
        self, name: str, kind: type[Record]
    ) -> Iterator[tuple[Location, Record]]:
        """Yield the valid records of a list with their locations."""
        parent = Location(None, name)
        records = self.members.get(name)
        if not isinstance(records, tuple):
            return
        for index, record in enumerate(records):
            if isinstance(record, kind):
                yield Location(parent, index), record

    def list_records(self, name: str, kind: type[Record]) -> list[Record]:
        """Return the valid records of a list."""
        records = self.members.get(name)
        if not isinstance(records, tuple):
            return []
        return [record for record in records if isinstance(record, kind)]

    def get(self, name: str, kind: type[Record]) -> Record | None:
        """Return a member that is a single record, or None if it is not valid."""
        record = self.members.get(name)
        return record if isinstance(record, kind) else None

    def list_raw(self, name: str, member: str = "id") -> list[str]:
        """Return a string member of all records of a list, also of invalid ones."""
        records = self.raw.get(name)
        if not isinstance(records, list):
            return []
        values = [record.get(member) for record in records if isinstance(record, dict)]
        return [value for value in values if isinstance(value, str)]

    def list_raw_ids(self, name: str) -> frozenset[str]:
        """Return the ids of all records of a list, also of invalid ones."""
        return frozenset(self.list_raw(name))

    def is_complete(self, name: str, kind: type[object]) -> bool:
        """Return whether all records of a list are valid; an absent list counts."""
        records = self.members.get(name, ())
        return isinstance(records, tuple) and all(
            isinstance(record, kind) for record in records
        )


def check_consistency(draft: Draft, report: Report) -> None:
    """Add the findings that concern more than one member."""
    for check in _CHECKS:
        check(draft, report)


def _check_duplicates(draft: Draft, report: Report) -> None:
    for name, member in _IDENTITIES:
        values = draft.list_raw(name, member)
        if len(set(values)) < len(values):
            _report_duplicates(_list_keys(draft, name, member), member, report)
    pairs = (
        (Location(location, "regions"), " and ".join(sorted(link.regions)))
        for location, link in draft.iterate_records("links", Link)
    )
    _report_duplicates(pairs, "regions", report)
    for location, service in draft.iterate_records("services", Service):
        _check_operations(location, service, report)


def _check_operations(location: Location, service: Service, report: Report) -> None:
    calls = (
        (Location(Location(location, "operations"), index), _name_operation(operation))
        for index, operation in enumerate(service.operations)
    )
    _report_duplicates(calls, "method and path_prefix", report)


def _name_operation(operation: Operation) -> str:
    return f"{operation.method} {operation.path_prefix}"


def _list_keys(draft: Draft, name: str, member: str) -> Iterator[tuple[Location, str]]:
    records = draft.raw.get(name)
    if not isinstance(records, list):
        return
    for index, record in enumerate(records):
        value = record.get(member) if isinstance(record, dict) else None
        if isinstance(value, str):
            yield Location(Location(Location(None, name), index), member), value


def _report_duplicates(
    keys: Iterable[tuple[Location, str]], member: str, report: Report
) -> None:
    first: dict[str, Location] = {}
    for location, key in keys:
        if key in first:
            report.add(
                location,
                f"the {member} {key} is already used at {first[key].to_pointer()}",
                "Give each its own, or remove one",
            )
        else:
            first[key] = location


def _check_references(draft: Draft, report: Report) -> None:
    regions = draft.list_raw_ids("regions")
    zones = draft.list_raw_ids("zones")
    models = draft.list_raw_ids("models")
    services = draft.list_raw_ids("services")
    for location, zone in draft.iterate_records("zones", Zone):
        _check_id(location, "region", zone.region, regions, report)
    for location, host in draft.iterate_records("hosts", Host):
        _check_id(location, "zone", host.zone, zones, report)
    for location, target in draft.iterate_records("targets", Target):
        _check_id(location, "zone", target.zone, zones, report)
        _check_ids(location, "models", target.models, models, report)
        if target.service:
            _check_id(location, "service", target.service, services, report)
    for location, link in draft.iterate_records("links", Link):
        _check_ids(location, "regions", link.regions, regions, report)
    for location, rule in draft.iterate_records("residency", ResidencyRule):
        _check_id(location, "region", rule.region, regions, report)
        _check_ids(location, "models", rule.models, models, report)
        _check_ids(location, "services", rule.services, services, report)
    store = draft.get("weight_store", WeightStore)
    if store is not None:
        location = Location(None, "weight_store")
        _check_id(location, "region", store.region, regions, report)


def _check_issuers(draft: Draft, report: Report) -> None:
    issuers = draft.get("issuers", Issuers)
    if issuers is None:
        return
    location = Location(None, "issuers")
    hosts = draft.list_raw_ids("hosts")
    _check_ids(location, "hosts", issuers.hosts, hosts, report)
    for index, host in enumerate(issuers.ended):
        if host not in issuers.previous:
            report.add(
                Location(Location(location, "ended"), index),
                f"{host} is not one of the previous issuers",
                "Name in ended only hosts that previous names",
            )


def _check_ids(
    location: Location,
    member: str,
    ids: tuple[str, ...],
    known: frozenset[str],
    report: Report,
) -> None:
    for index, id_ in enumerate(ids):
        if id_ not in known:
            _report_reference(
                Location(Location(location, member), index), member, id_, report
            )


def _check_id(
    location: Location, member: str, id_: str, known: frozenset[str], report: Report
) -> None:
    if id_ not in known:
        _report_reference(Location(location, member), member, id_, report)


def _report_reference(
    location: Location, member: str, id_: str, report: Report
) -> None:
    kind = member.removesuffix("s")
    report.add(
        location,
        f"there is no {kind} {id_} in this document",
        f"Add it under {kind}s, or name one that is there",
    )


def _check_target_kinds(draft: Draft, report: Report) -> None:
    for location, target in draft.iterate_records("targets", Target):
        if target.kind is TargetKind.RUNNER:
            _check_runner(location, target, report)
        else:
            _check_service_target(location, target, report)


def _check_runner(location: Location, target: Target, report: Report) -> None:
    if not target.models:
        report.add(
            Location(location, "models"), "a runner serves no model", "Name its models"
        )
    if target.service:
        report.add(
            Location(location, "service"),
            "a runner can't provide a service",
            'Remove service, or say kind "service"',
        )


def _check_service_target(location: Location, target: Target, report: Report) -> None:
    if not target.service:
        report.add(
            Location(location, "service"),
            "a target of kind service names no service",
            "Name its service",
        )
    if target.models:
        report.add(
            Location(location, "models"),
            "a target of kind service can't serve models",
            'Remove models, or say kind "runner"',
        )


def _check_links(draft: Draft, report: Report) -> None:
    for location, link in draft.iterate_records("links", Link):
        if link.regions[0] == link.regions[1]:
            report.add(
                Location(location, "regions"),
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
            Location(None, "weights"),
            f"cost and tail_latency sum to {total:g}",
            "Make them sum to 1",
        )


def _check_not_empty(draft: Draft, report: Report) -> None:
    for name in ("regions", "zones", "hosts"):
        if draft.members.get(name) == ():
            report.add(Location(None, name), f"{name} is empty", "Name at least one")


def _check_region_hosts(draft: Draft, report: Report) -> None:
    if not (draft.is_complete("hosts", Host) and draft.is_complete("zones", Zone)):
        return
    zones = _map_zones(draft)
    served = {zones.get(host.zone) for host in draft.list_records("hosts", Host)}
    for location, region in draft.iterate_records("regions", Region):
        if region.id not in served:
            report.add(
                location,
                f"region {region.id} has no host",
                "Add a host in one of its zones, or remove the region",
            )


def _check_unserved(draft: Draft, report: Report) -> None:
    if not draft.is_complete("targets", Target):
        return
    targets = draft.list_records("targets", Target)
    models = {model for target in targets for model in target.models}
    services = {target.service for target in targets}
    for location, model in draft.iterate_records("models", Model):
        if model.id not in models:
            report.add(
                location,
                f"no target serves the model {model.id}",
                "Name it in a runner's models, or remove it",
            )
    for location, service in draft.iterate_records("services", Service):
        if service.id not in services:
            report.add(
                location,
                f"no target provides the service {service.id}",
                "Add a target for it, or remove it",
            )


def _check_residency(draft: Draft, report: Report) -> None:
    rules = list(draft.iterate_records("residency", ResidencyRule))
    if not rules:
        return
    for location, rule in rules:
        _check_selectors(location, rule, report)
    if draft.is_complete("targets", Target) and draft.is_complete("zones", Zone):
        served = _list_served(draft)
        for location, rule in rules:
            _check_rule_served(location, rule, served, report)
    if len(rules) > MAX_RESIDENCY_RULES:
        report.add(
            Location(None, "residency"),
            f"there are {len(rules)} rules, over the limit of {MAX_RESIDENCY_RULES}",
            "Name the teams of one region in one rule",
        )
        return
    _check_rule_conflicts(rules, report)


def _check_selectors(location: Location, rule: ResidencyRule, report: Report) -> None:
    if not (rule.teams or rule.models or rule.services):
        report.add(location, "the rule binds nothing", "Name teams, models or services")
    if rule.models and rule.services:
        report.add(
            location,
            "no request is for a model and a service at once, so the rule binds nothing",
            "Make one rule for the models and one for the services",
        )


@dataclass(frozen=True, slots=True)
class _Served:
    """The models and services that targets serve, as pairs of region and id."""

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
    location: Location, rule: ResidencyRule, served: _Served, report: Report
) -> None:
    advice = "Add a target there, or change the rule"
    if rule.region not in served.regions:
        message = f"region {rule.region} has no target for the requests bound to it"
        report.add(location, message, advice)
        return
    for index, model in enumerate(rule.models):
        if (rule.region, model) not in served.models:
            message = f"no target in region {rule.region} serves the model {model}"
            report.add(Location(Location(location, "models"), index), message, advice)
    for index, service in enumerate(rule.services):
        if (rule.region, service) not in served.services:
            message = f"no target in region {rule.region} provides {service}"
            report.add(Location(Location(location, "services"), index), message, advice)


def _check_rule_conflicts(
    rules: list[tuple[Location, ResidencyRule]], report: Report
) -> None:
    selectors = [
        (frozenset(rule.teams), frozenset(rule.models), frozenset(rule.services))
        for _, rule in rules
    ]
    for later, (location, rule) in enumerate(rules):
        for earlier in range(later):
            other = rules[earlier][1]
            if other.region == rule.region:
                continue
            if _selectors_overlap(selectors[earlier], selectors[later]):
                report.add(
                    location,
                    f"a request can be bound to {rule.region} by {rule.id} "
                    f"and to {other.region} by {other.id}",
                    "Make the two rules select different requests",
                )


def _selectors_overlap(
    first: tuple[frozenset[str], frozenset[str], frozenset[str]],
    second: tuple[frozenset[str], frozenset[str], frozenset[str]],
) -> bool:
    """Return whether one request can match the selectors of two rules."""
    models = first[1] | second[1]
    services = first[2] | second[2]
    if models and services:
        return False
    return all(
        not left or not right or not left.isdisjoint(right)
        for left, right in zip(first, second, strict=True)
    )


def _check_limits(draft: Draft, report: Report) -> None:
    for location, limit in draft.iterate_records("limits", Limit):
        if limit.tokens_per_s > 0 and limit.burst_tokens < 1:
            report.add(
                Location(location, "burst_tokens"),
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
    _check_not_empty,
    _check_duplicates,
    _check_references,
    _check_issuers,
    _check_target_kinds,
    _check_links,
    _check_weights,
    _check_region_hosts,
    _check_unserved,
    _check_residency,
    _check_limits,
)
