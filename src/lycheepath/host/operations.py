"""Finds the service and operation that a request calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.reasons import Absent, Reason

if TYPE_CHECKING:
    from ..core.environment.model import Environment, Operation, Service


def find_service(environment: Environment, service_id: str) -> Service | None:
    """Return the service with this id, or None."""
    for service in environment.services:
        if service.id == service_id:
            return service
    return None


def find_operation(service: Service, method: str, path: str) -> Operation | Absent:
    """Return the operation with the longest path prefix that matches."""
    matching = [
        operation
        for operation in service.operations
        if operation.method == method and path.startswith(operation.path_prefix)
    ]
    if not matching:
        detail = f"{service.id} has no operation {method} {path}"
        return Absent(Reason.NO_SUCH_SERVICE, detail=detail)
    return max(matching, key=lambda operation: len(operation.path_prefix))
