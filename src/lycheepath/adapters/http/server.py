"""The HTTP application of a host and the server that runs it."""

from __future__ import annotations

import logging
from functools import partial
from importlib.resources import files
from typing import TYPE_CHECKING, Any

from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, request
from quart_trio import QuartTrio

from ...core.outcomes import RequestFailedError, Run
from .answers import ProblemError, respond_problem
from .chat import handle_chat
from .checks import check_head, report_unknown_for_claim
from .completion import complete_answers
from .gate import MAX_BODY_BYTES, build_gate
from .hosts import handle_host_query
from .operators import handle_audit, handle_explain, handle_status
from .peers import (
    handle_handover,
    handle_handover_release,
    handle_moved_claims,
    handle_quarantine_decision,
    handle_state,
    handle_suspicion,
    handle_trial,
    handle_use,
    handle_value,
)
from .problems import Problem, problem_from_absent
from .services import handle_service, handle_ticket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ...host.node import Node

SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
KEEP_ALIVE_S = 75
HEADERS_TIMEOUT_S = 10
BACKLOG = 1024
SHUTDOWN_GRACE_S = 3.0


def build_application(node: Node) -> Any:
    """Return the ASGI application of a host."""
    application = QuartTrio("lycheepath")
    application.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    application.config["RESPONSE_TIMEOUT"] = None
    logging.getLogger("quart.app").setLevel(logging.ERROR)
    _add_errors(application, node)
    _add_routes(application, node)

    def count(reason: str) -> None:
        node.metrics.count("refused_total", reason=reason, stage="headers")

    inner: Any = application
    served = complete_answers(count_in_flight(node, inner))
    return build_gate(served, partial(check_head, node), count)


def count_in_flight(node: Node, application: Any) -> Any:
    """Return an application that counts callers' requests in flight."""

    async def serve_counted(scope: Any, receive: Any, send: Any) -> None:
        if not scope.get("path", "").startswith("/v1/"):
            await application(scope, receive, send)
            return
        node.in_flight += 1
        try:
            await application(scope, receive, send)
        finally:
            node.in_flight -= 1

    return serve_counted


async def serve_http(
    node: Node, wait_shutdown: Callable[[], Awaitable[None]], task_status: Any
) -> None:
    """Serve callers, operators and peers until shutdown is requested."""
    config = Config()
    config.bind = [node.settings.listen_callers]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.read_timeout = None
    config.backlog = BACKLOG
    config.graceful_timeout = SHUTDOWN_GRACE_S
    config.include_server_header = False
    await serve(
        build_application(node),
        config,
        shutdown_trigger=wait_shutdown,
        task_status=task_status,
        mode="asgi",
    )


def _add_routes(application: QuartTrio, node: Node) -> None:
    def route(
        path: str, handler: Callable[..., Awaitable[Response]], *methods: str
    ) -> None:
        application.add_url_rule(
            path, path, partial(handler, node), methods=methods or ("GET",)
        )

    route("/health", _answer_health)
    route("/ready", _answer_ready)
    route("/metrics", _answer_metrics)
    route("/openapi.json", _answer_openapi)
    route("/v1/chat/completions", handle_chat, "POST")
    route("/v1/host", handle_host_query)
    route("/v1/tickets", handle_ticket, "POST")
    route("/v1/services/<service>", handle_service, *SERVICE_METHODS)
    route("/v1/services/<service>/<path:path>", handle_service, *SERVICE_METHODS)
    route("/operator/status", handle_status)
    route("/operator/explain/<request_id>", handle_explain)
    route("/operator/audit", handle_audit)
    route("/peer/state", handle_state)
    route("/peer/use", handle_use)
    route("/peer/values/<path:name>", handle_value)
    route("/peer/handover", handle_handover, "POST")
    route("/peer/handover/release", handle_handover_release, "POST")
    route("/peer/trial", handle_trial, "POST")
    route("/peer/suspicion", handle_suspicion, "POST")
    route("/peer/conviction", handle_quarantine_decision, "POST")
    route("/peer/moved", handle_moved_claims, "POST")


def _add_errors(application: QuartTrio, node: Node) -> None:
    async def answer_problem(error: ProblemError) -> Response:
        node.metrics.count("refused_total", reason=error.problem.reason, stage="body")
        return respond_problem(report_unknown_for_claim(error.problem, request.headers))

    async def answer_failure(error: RequestFailedError) -> Response:
        reason = error.absent.reason.value
        node.metrics.count("refused_total", reason=reason, stage="serving")
        return respond_problem(problem_from_absent(error.absent, error.run))

    async def answer_http_error(error: Any) -> Response:
        status = int(getattr(error, "code", 500) or 500)
        reason = {404: "no-such-path", 405: "no-such-method", 413: "body-too-large"}
        node.metrics.count("refused_total", reason=str(status), stage="http")
        run = Run.NOT_RUN if status < 500 else Run.UNKNOWN
        problem = Problem(status, reason.get(status, "http-error"), run, str(error))
        return respond_problem(report_unknown_for_claim(problem, request.headers))

    application.register_error_handler(ProblemError, answer_problem)
    application.register_error_handler(RequestFailedError, answer_failure)
    for status in (400, 404, 405, 408, 413, 500):
        application.register_error_handler(status, answer_http_error)


async def _answer_openapi(node: Node) -> Response:
    text = files(__package__).joinpath("openapi.json").read_bytes()
    return Response(text, content_type="application/json")


async def _answer_health(node: Node) -> Response:
    return Response("ok\n", content_type="text/plain")


async def _answer_ready(node: Node) -> Response:
    if node.ready:
        return Response("ready\n", content_type="text/plain")
    text = "draining\n" if node.draining else "no configuration yet\n"
    return Response(text, 503, content_type="text/plain")


async def _answer_metrics(node: Node) -> Response:
    return Response(node.metrics.render(), content_type="text/plain; version=0.0.4")
