# Licensed under the Apache License 2.0: see LICENSE for details.

"""Policy programs: short Starlark functions that order and filter candidates.

A program defines ``route(request, candidates)``.  ``request`` is a dict with
``organisation``, ``class``, ``asked`` (the cascade or version that was named),
``size`` (``"small"``, ``"medium"`` or ``"large"``) and ``stream``.
``candidates`` is a list of dicts with ``name``, ``model``, ``price_input`` and
``price_output``.  It returns a list of candidate names, best first.

What a program returns is only ever a choice among what it was given: the guard
in :mod:`walnutquay.state.own.routing` comes after it.
"""

from __future__ import annotations

from dataclasses import dataclass

import starlark

from walnutquay.exceptions import PolicyError
from walnutquay.state.store.parts import Policy, Version

# Starlark asks about every thousand instructions whether to go on.  Counting
# the questions, not time, makes the bound the same on every run.
MAX_CANCEL_CHECKS = 50
MAX_CALL_DEPTH = 32
# Answers are kept per program and question; this many before starting afresh.
MAX_KEPT_ANSWERS = 4096
FUNCTION = "route"


@dataclass(frozen=True, slots=True)
class PolicyRequest:
    """What a program is told of a request; few values, so that answers repeat."""

    organisation: str
    request_class: str
    asked: str
    size: str
    stream: bool

    def plain(self) -> dict[str, object]:
        """:returns: the request as the program sees it."""
        return {
            "organisation": self.organisation,
            "class": self.request_class,
            "asked": self.asked,
            "size": self.size,
            "stream": self.stream,
        }


SAMPLE_REQUEST = PolicyRequest("sample", "default", "sample", "small", False)
SAMPLE_VERSION = Version(name="sample", model="sample", price_input=1, price_output=2)


class PolicyProgram:
    """One compiled program.

    :param policy: the policy to compile.
    :raises PolicyError: if it does not parse or defines no ``route``.
    """

    def __init__(self, policy: Policy) -> None:
        self.name = policy.name
        # Answers by question; a program sees nothing else, so they hold for as
        # long as the program does.
        self.answers: dict[tuple, tuple[str, ...]] = {}
        module = starlark.Module()
        try:
            ast = starlark.parse(policy.name, policy.source)
            options = self.bounded()
            starlark.eval_with(options, module, ast, starlark.Globals.standard())
            self.module = module.freeze()
        except starlark.StarlarkError as error:
            raise PolicyError(str(error), step="compile", peer=policy.name) from error

    @staticmethod
    def bounded() -> starlark.EvalOptions:
        """:returns: options that end a program after a fixed amount of work."""
        asked = 0

        def spent() -> bool:
            nonlocal asked
            asked += 1
            return asked > MAX_CANCEL_CHECKS

        return starlark.EvalOptions(
            check_cancelled=spent, max_callstack_size=MAX_CALL_DEPTH
        )

    def order(
        self, request: PolicyRequest, candidates: tuple[Version, ...]
    ) -> tuple[str, ...]:
        """Ask the program which candidates to use.

        :param request: what is asked for.
        :param candidates: the versions that are allowed.
        :returns: names of candidates, best first; names that it invents are
            left out.
        :raises PolicyError: if the program fails or runs for too long.
        """
        question = (request, candidates)
        kept = self.answers.get(question)
        if kept is not None:
            return kept
        answer = self._ask(request, candidates)
        if len(self.answers) >= MAX_KEPT_ANSWERS:
            self.answers.clear()
        self.answers[question] = answer
        return answer

    def _ask(
        self, request: PolicyRequest, candidates: tuple[Version, ...]
    ) -> tuple[str, ...]:
        plain = [
            {
                "name": version.name,
                "model": version.model,
                "price_input": version.price_input,
                "price_output": version.price_output,
            }
            for version in candidates
        ]
        try:
            result = self.module.call_with(
                self.bounded(), FUNCTION, request.plain(), plain
            )
            value = result.value
        except (starlark.StarlarkError, AttributeError) as error:
            raise PolicyError(str(error), step="route", peer=self.name) from error
        if not isinstance(value, list) or not all(isinstance(n, str) for n in value):
            raise PolicyError(
                "route() must return a list of names", step="route", peer=self.name
            )
        known = {version.name for version in candidates}
        return tuple(dict.fromkeys(name for name in value if name in known))


class PolicyPrograms:
    """The compiled programs of the configuration that is in force.

    A program that does not compile, though it was checked when applied, leaves
    the last good one of its name in place; ``failed`` names it.
    """

    def __init__(self) -> None:
        self.programs: dict[str, PolicyProgram] = {}
        # Source by name, to compile only what changed.
        self.sources: dict[str, str] = {}
        # Why a program of this name is not the one that is configured.
        self.failed: dict[str, str] = {}

    def load(self, policies: tuple[Policy, ...]) -> None:
        """Compile what changed.

        :param policies: the policies of the configuration in force.
        """
        wanted = {policy.name for policy in policies}
        for name in set(self.programs) - wanted:
            del self.programs[name]
            self.sources.pop(name, None)
        for policy in policies:
            if self.sources.get(policy.name) == policy.source:
                continue
            try:
                self.programs[policy.name] = PolicyProgram(policy)
            except PolicyError as error:
                self.failed[policy.name] = str(error)
                continue
            self.sources[policy.name] = policy.source
            self.failed.pop(policy.name, None)

    def order(
        self,
        name: str | None,
        request: PolicyRequest,
        candidates: tuple[Version, ...],
    ) -> tuple[str, ...]:
        """Order candidates by a policy; without one, in the order given.

        :param name: the policy's name.
        :param request: what is asked for.
        :param candidates: the versions that are allowed.
        :returns: names, best first.  Where the program fails, the given order,
            and ``failed`` says why.
        """
        given = tuple(version.name for version in candidates)
        program = self.programs.get(name) if name is not None else None
        if program is None:
            return given
        try:
            return program.order(request, candidates)
        except PolicyError as error:
            self.failed[program.name] = str(error)
            return given

    @staticmethod
    def check(policy: Policy) -> str | None:
        """Compile a program and run it once on a sample.

        :param policy: the policy to check.
        :returns: what is wrong with it, or None.
        """
        try:
            PolicyProgram(policy).order(SAMPLE_REQUEST, (SAMPLE_VERSION,))
        except PolicyError as error:
            return str(error)
        return None
