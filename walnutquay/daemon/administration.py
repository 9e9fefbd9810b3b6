# Licensed under the Apache License 2.0: see LICENSE for details.

"""The API for operators, on a port and with a token of its own."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable
from functools import wraps
from typing import Any

import orjson
from pydantic import ValidationError
from sanic import HTTPResponse, Request
from sanic.exceptions import SanicException

from walnutquay.coordination.own.acceptance import Change
from walnutquay.coordination.own.parts import Parts
from walnutquay.daemon.authentication import is_operator
from walnutquay.daemon.beliefs import BELIEFS
from walnutquay.daemon.status import vm_status
from walnutquay.exceptions import (
    ConfigurationError,
    ConflictError,
    PlatformError,
    PlatformUnclearError,
    WalnutquayError,
)
from walnutquay.sections import AdministrationSection
from walnutquay.state.own.checking import check_content, parse_content
from walnutquay.state.own.configuration import PART_MODELS, Configuration, Content
from walnutquay.state.own.halls import HallAction, change_hall
from walnutquay.state.own.policies import PolicyPrograms, PolicyRequest
from walnutquay.state.own.rollouts import RolloutAction, change_rollout
from walnutquay.state.process.problems import problems_of
from walnutquay.state.store.parts import Policy
from walnutquay.transport.server import HttpServer, ServerLimits

JSON_TYPE = "application/json"
BODY_LIMIT = 8 << 20
OPERATION_BYTES = 8

Handler = Callable[..., Awaitable[HTTPResponse]]


def reply(value: Any, status: int = 200) -> HTTPResponse:
    """:param value: what to answer.

    :param status: HTTP status.
    """
    return HTTPResponse(orjson.dumps(value), status=status, content_type=JSON_TYPE)


def _error(status: int, code: str, reason: str, **more: Any) -> HTTPResponse:
    return reply({"error": {"code": code, "reason": reason, **more}}, status)


def _guarded(handler: Handler) -> Handler:
    """Ask for the operators' token, and turn errors into answers."""

    @wraps(handler)
    async def wrapper(
        api: AdministrationApi, request: Request, **names: str
    ) -> HTTPResponse:
        header = request.headers.get("authorization")
        if not is_operator(api.section.token_hash, header):
            return _error(401, "unauthorised", "the operators' token is wanted")
        try:
            return await handler(api, request, **names)
        except ConflictError as error:
            return _error(409, "conflict", error.reason, revision=error.revision)
        except ConfigurationError as error:
            problems = error.reason.splitlines()
            return _error(422, "invalid", error.reason, problems=problems)
        except PlatformUnclearError as error:
            return _error(504, "unclear", str(error))
        except PlatformError as error:
            return _error(503, "platform_unavailable", str(error))
        except WalnutquayError as error:
            return _error(400, "refused", str(error))

    return wrapper


class AdministrationApi:
    """Serves operators.

    :param section: the settings.
    :param parts: the parts of this daemon.
    """

    def __init__(self, section: AdministrationSection, parts: Parts) -> None:
        self.section = section
        self.parts = parts
        limits = ServerLimits(body=BODY_LIMIT)
        name = f"administration-{parts.context.vm}"
        self.server = HttpServer(name, limits, self.on_error)
        route = self.server.route
        route("/v1/configuration", ["GET"], self.get_configuration, "get")
        route("/v1/configuration", ["PUT"], self.put_configuration, "put")
        route("/v1/status", ["GET"], self.status, "status")
        route("/v1/timeline", ["GET"], self.timeline, "timeline")
        route("/v1/metrics", ["GET"], self.metrics, "metrics")
        route("/v1/rollouts/<name:str>/<action:str>", ["POST"], self.rollout, "roll")
        route("/v1/halls/<name:str>/<action:str>", ["POST"], self.hall, "hall")
        route("/v1/policies/test", ["POST"], self.policy_test, "policy-test")
        route("/v1/trace", ["POST"], self.record_trace, "record-trace")
        route("/v1/trace", ["GET"], self.get_trace, "get-trace")
        route("/v1/debug/<what:str>", ["GET"], self.debug, "debug")

    async def start(self) -> None:
        """Listen."""
        await self.server.start(self.section.host, self.section.port)

    def on_error(self, request: Request, error: SanicException) -> HTTPResponse:
        """:param request: the operator's request.

        :param error: what Sanic finds wrong with it.
        """
        return _error(error.status_code or 500, "bad_request", str(error))

    # Configuration.

    @_guarded
    async def get_configuration(self, request: Request) -> HTTPResponse:
        """Give the configuration in force.

        :param request: the operator's request.
        """
        current = self.parts.configurations.current
        content = current.content.model_dump(mode="json", exclude_defaults=True)
        return reply({"revision": current.revision, "content": content})

    @_guarded
    async def put_configuration(self, request: Request) -> HTTPResponse:
        """Change the parts that the body has; the others stay as they are.

        :param request: the operator's request: ``content``, and if wanted
            ``operation``, ``if_revision`` and ``file``.
        """
        body = _json_object(request)
        plain = body.get("content")
        if not isinstance(plain, dict):
            raise ConfigurationError("'content' must be an object")
        file = str(body.get("file", "request"))
        content, problems = parse_content(plain, file)
        # References may lead to parts that the body does not have, so only
        # wrong keys and types are final here.
        if problems and content == Content() and plain:
            raise ConfigurationError("\n".join(map(str, problems)))
        given = frozenset(plain)
        accepted = await self.parts.acceptance.apply(
            _replace_parts(content, given, file),
            str(body.get("operation") or secrets.token_hex(OPERATION_BYTES)),
            body.get("if_revision"),
        )
        return reply({"revision": accepted.revision, "operation": accepted.operation})

    @_guarded
    async def rollout(self, request: Request, name: str, action: str) -> HTTPResponse:
        """Start, advance, pause, resume or withdraw a roll-out.

        :param request: the operator's request; its body may have ``operation``.
        :param name: the roll-out.
        :param action: what to do with it.
        """
        body = _json_object(request) if request.body else {}
        try:
            wanted = RolloutAction(action)
        except ValueError:
            names = ", ".join(item.value for item in RolloutAction)
            raise ConfigurationError(
                f"{action!r} is no action; there are {names}"
            ) from None
        accepted = await self.parts.acceptance.apply(
            lambda content: change_rollout(content, name, wanted, body),
            str(body.get("operation") or secrets.token_hex(OPERATION_BYTES)),
        )
        return reply({"revision": accepted.revision, "operation": accepted.operation})

    @_guarded
    async def hall(self, request: Request, name: str, action: str) -> HTTPResponse:
        """Empty a data hall, or use it again.

        :param request: the operator's request; its body may have ``operation``.
        :param name: the data hall.
        :param action: what to do with it.
        """
        body = _json_object(request) if request.body else {}
        try:
            wanted = HallAction(action)
        except ValueError:
            names = ", ".join(item.value for item in HallAction)
            raise ConfigurationError(
                f"{action!r} is no action; there are {names}"
            ) from None
        accepted = await self.parts.acceptance.apply(
            lambda content: change_hall(content, name, wanted),
            str(body.get("operation") or secrets.token_hex(OPERATION_BYTES)),
        )
        return reply({"revision": accepted.revision, "operation": accepted.operation})

    @_guarded
    async def policy_test(self, request: Request) -> HTTPResponse:
        """Run a policy on sample requests, without putting it in force.

        :param request: ``requests``, and ``policy``: a name in force, or any
            name where ``source`` gives the program.
        """
        body = _json_object(request)
        current = self.parts.configurations.current
        policy = _policy_of(body, current)
        programs = PolicyPrograms()
        programs.load((policy,))
        answers = []
        for sample in body.get("requests", []):
            question = PolicyRequest(
                str(sample.get("organisation", "sample")),
                str(sample.get("class", "default")),
                str(sample.get("asked", "")),
                str(sample.get("size", "small")),
                bool(sample.get("stream", False)),
            )
            candidates = tuple(current.content.versions)
            order = programs.order(policy.name, question, candidates)
            answers.append({"request": question.plain(), "order": order})
        return reply({"answers": answers, "failed": programs.failed})

    # Looking.

    @_guarded
    async def status(self, request: Request) -> HTTPResponse:
        """Tell how this VM and, as it sees them, the others are.

        :param request: the operator's request.
        """
        return reply(vm_status(self.parts))

    @_guarded
    async def timeline(self, request: Request) -> HTTPResponse:
        """Give the events that this VM has kept.

        :param request: the query may have ``request`` or ``session``.
        """
        events = self.parts.context.timeline.ring.select(
            request=request.args.get("request", ""),
            session=request.args.get("session", ""),
        )
        return reply([event.plain() for event in events])

    @_guarded
    async def metrics(self, request: Request) -> HTTPResponse:
        """Give all metrics of this VM.

        :param request: the operator's request.
        """
        return reply(self.parts.context.metrics.plain())

    @_guarded
    async def record_trace(self, request: Request) -> HTTPResponse:
        """Begin to record a trace of this VM's requests.

        :param request: ``seconds``: for how long; 0 ends a recording.
        """
        seconds = _json_object(request).get("seconds")
        if not isinstance(seconds, int | float) or seconds < 0:
            raise ConfigurationError("'seconds' must be a number from 0 on")
        recorder = self.parts.recorder
        if seconds:
            recorder.start(seconds)
        else:
            recorder.stop()
        return reply({"vm": self.parts.context.vm, "seconds": seconds})

    @_guarded
    async def get_trace(self, request: Request) -> HTTPResponse:
        """Give what has been recorded.

        :param request: the operator's request.
        """
        return reply(list(self.parts.recorder.rows))

    @_guarded
    async def debug(self, request: Request, what: str) -> HTTPResponse:
        """Print what this VM believes.

        :param request: the operator's request.
        :param what: the subject.
        """
        belief = BELIEFS.get(what)
        if belief is None:
            raise ConfigurationError(
                f"{what!r} is no subject; there are {', '.join(sorted(BELIEFS))}"
            )
        return reply(belief(self.parts))


def _json_object(request: Request) -> dict[str, Any]:
    try:
        body = orjson.loads(request.body)
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise ConfigurationError("the body must be a JSON object")
    return body


def _policy_of(body: dict[str, Any], current: Configuration) -> Policy:
    """Find the policy to run dry."""
    name = str(body.get("policy"))
    if "source" not in body:
        policy = current.policies.get(name)
        if policy is None:
            raise ConfigurationError(f"no policy is called {name!r}")
        return policy
    try:
        policy = Policy(name=name, source=body["source"])
    except ValidationError as error:
        problems = problems_of(error, name, Policy)
        raise ConfigurationError("\n".join(map(str, problems))) from error
    reason = PolicyPrograms.check(policy)
    if reason is not None:
        raise ConfigurationError(f"{name}: source: {reason}")
    return policy


def _replace_parts(new: Content, given: frozenset[str], file: str) -> Change:
    """Make the change that puts the given parts in place of the present ones."""

    def change(present: Content) -> Content:
        parts = {
            name: getattr(new if name in given else present, name)
            for name in PART_MODELS
        }
        changed = Content(**parts)
        problems = check_content(changed, file)
        if problems:
            raise ConfigurationError("\n".join(map(str, problems)))
        return changed

    return change
