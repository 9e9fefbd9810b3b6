# Licensed under the Apache License 2.0: see LICENSE for details.

"""Policy programs: short Starlark functions that order and filter candidates.

A program defines ``route(request, candidates)``.  ``request`` is a dict with
``organisation``, ``class``, ``asked`` (the cascade or version that was requested),
``size`` (``"small"``, ``"medium"`` or ``"large"``) and ``stream``.
``candidates`` is a list of dicts with ``name``, ``model``, ``price_input`` and
``price_output``.  It returns a list of candidate names, best first.

A program can only choose among the candidates that it was given: the checks in
:mod:`walnutquay.state.own.routing` are applied to its result.
"""

from __future__ import annotations

from dataclasses import dataclass

import starlark

from walnutquay.exceptions import PolicyError
from walnutquay.state.store.parts import Policy, Version

# The maximum number of cancellation checks in one run; Starlark makes one about every
# thousand instructions.  Counting checks instead of time makes the limit the same on
# every run.
MAX_CANCEL_CHECKS = 50
MAX_CALL_DEPTH = 32
# The number of results that are cached per program before its cache is cleared.
MAX_CACHED_RESULTS = 4096
FUNCTION = "route"


@dataclass(frozen=True, slots=True)
class PolicyRequest:
    """The request as passed to a program.

    It has few distinct values, so that cached results can often be reused.
    """

    organisation: str
    request_class: str
    asked: str
    size: str
    stream: bool

    def plain(self) -> dict[str, object]:
        """Convert the request to the dict that is passed to the program."""
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
    """A compiled policy program.

    :param policy: the policy to compile.
    :raises PolicyError: if the program does not parse, or fails when evaluated.
    """

    def __init__(self, policy: Policy) -> None:
        self.name = policy.name
        # Results by request and candidates.  A program has no other input, so they
        # stay valid for as long as the program is in use.
        self.cached_results: dict[tuple, tuple[str, ...]] = {}
        module = starlark.Module()
        try:
            ast = starlark.parse(policy.name, policy.source)
            options = self.limited_options()
            starlark.eval_with(options, module, ast, starlark.Globals.standard())
            self.module = module.freeze()
        except starlark.StarlarkError as error:
            raise PolicyError(str(error), step="compile", peer=policy.name) from error

    @staticmethod
    def limited_options() -> starlark.EvalOptions:
        """Return options that stop a program after a fixed amount of work."""
        check_count = 0

        def is_exhausted() -> bool:
            nonlocal check_count
            check_count += 1
            return check_count > MAX_CANCEL_CHECKS

        return starlark.EvalOptions(
            check_cancelled=is_exhausted, max_callstack_size=MAX_CALL_DEPTH
        )

    def order(
        self, request: PolicyRequest, candidates: tuple[Version, ...]
    ) -> tuple[str, ...]:
        """Run the program to order the candidates.

        :param request: the request to route.
        :param candidates: the allowed versions.
        :returns: names of candidates, best first; names that are not candidates are
            dropped.
        :raises PolicyError: if the program fails or exceeds its limits.
        """
        cache_key = (request, candidates)
        cached = self.cached_results.get(cache_key)
        if cached is not None:
            return cached
        names = self._run(request, candidates)
        if len(self.cached_results) >= MAX_CACHED_RESULTS:
            self.cached_results.clear()
        self.cached_results[cache_key] = names
        return names

    def _run(
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
                self.limited_options(), FUNCTION, request.plain(), plain
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

    If a program does not compile, although it was checked when the configuration was
    applied, the last working program of its name is kept, and ``failed`` has the error.
    """

    def __init__(self) -> None:
        self.programs: dict[str, PolicyProgram] = {}
        # The source of each program by name, to compile only those that change.
        self.sources: dict[str, str] = {}
        # The last error of each failed program by name.
        self.failed: dict[str, str] = {}

    def load(self, policies: tuple[Policy, ...]) -> None:
        """Compile the new and changed programs, and drop the removed ones.

        :param policies: the policies of the configuration in force.
        """
        wanted = {policy.name for policy in policies}
        for name in (set(self.programs) | set(self.failed)) - wanted:
            self.programs.pop(name, None)
            self.sources.pop(name, None)
            self.failed.pop(name, None)
        for policy in policies:
            if self.sources.get(policy.name) == policy.source:
                # Its error may be of a source that was taken back.
                self.failed.pop(policy.name, None)
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
        """Order the candidates by a policy; without one, keep their order.

        :param name: the policy's name; None for no policy.
        :param request: the request to route.
        :param candidates: the allowed versions.
        :returns: names of candidates, best first.  If the program fails, all names in
            the given order, and the error is added to ``failed``.
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
        """Compile a program and run it once on a sample request.

        :param policy: the policy to check.
        :returns: the error, or None if there is none.
        """
        try:
            PolicyProgram(policy).order(SAMPLE_REQUEST, (SAMPLE_VERSION,))
        except PolicyError as error:
            return str(error)
        return None
