# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of which versions may serve a request, by tables of cases."""

from __future__ import annotations

import unittest
from typing import Any

from walnutquay.state.own.configuration import Configuration, Content
from walnutquay.state.own.policies import PolicyPrograms, PolicyRequest
from walnutquay.state.own.routing import (
    LocalRestrictions,
    RoutingRequest,
    check_allowed,
    plan,
    rollout_share,
    session_fraction,
)
from walnutquay.state.own.sessions import Pin
from walnutquay.state.process.ids import (
    OnWithdrawn,
    OrganisationName,
    Revision,
    RolloutState,
    SessionId,
    VersionState,
)
from walnutquay.state.requests.refusals import RefusalCode
from walnutquay.state.store.parts import Cascade, Organisation, Policy, Rollout, Version

VERSIONS = ("small-1", "small-2", "large-1")
NO_RESTRICTIONS = LocalRestrictions()
SESSIONS = [SessionId(f"ses-{number}") for number in range(2000)]


def configuration(
    states: dict[str, VersionState] | None = None,
    rollout: Rollout | None = None,
    organisation: dict[str, Any] | None = None,
    unconfirmed_for: float = 0.0,
    policies: tuple[Policy, ...] = (),
) -> Configuration:
    """Return a configuration: two models, an organisation, a cascade of both models."""
    fields = {"versions": VERSIONS, "cascades": ("both",), **(organisation or {})}
    content = Content(
        organisations=(Organisation(name="org", **fields),),
        versions=tuple(
            Version(
                name=name,
                model=name.split("-")[0],
                state=(states or {}).get(name, VersionState.ACTIVE),
                unconfirmed_for=unconfirmed_for,
            )
            for name in VERSIONS
        ),
        cascades=(Cascade(name="both", steps=("small", "large"), quality=0.5),),
        rollouts=(rollout,) if rollout else (),
        policies=policies,
    )
    return Configuration(Revision(1), content)


def pin(**versions: str) -> Pin:
    """Return the pin of a session that is bound to the given versions, by model."""
    bound = tuple(sorted(versions.items()))
    return Pin(SessionId("s"), OrganisationName("org"), bound)


def plan_names(
    config: Configuration,
    requested_name: str = "both",
    session: str = "s",
    bound: Pin | None = None,
    restrictions: LocalRestrictions = NO_RESTRICTIONS,
):
    """Return the names of the planned versions, or the code of the refusal."""
    programs = PolicyPrograms()
    programs.load(config.content.policies)
    request = RoutingRequest(
        config.organisations["org"], requested_name, "c", "small", False, session, bound
    )
    result = plan(config, programs, request, restrictions)
    if result.is_error():
        return result.error.code
    return tuple(version.name for version in result.ok.steps)


def rollout(state: RolloutState = RolloutState.RUNNING, stage: int = 0) -> Rollout:
    """Return a roll-out from small-1 to small-2."""
    return Rollout(
        name="r", model="small", old="small-1", new="small-2", state=state, stage=stage
    )


ACTIVE, DRAINING, WITHDRAWN = VersionState

# version's state, whether the session is bound to it, seconds unconfirmed, whether the
# version is rejected, refusal code or None
ALLOWED = [
    (ACTIVE, False, 0, False, None),
    (ACTIVE, True, 0, False, None),
    (DRAINING, False, 0, False, RefusalCode.NO_VERSION),
    (DRAINING, True, 0, False, None),
    (WITHDRAWN, False, 0, False, RefusalCode.VERSION_WITHDRAWN),
    (WITHDRAWN, True, 0, False, RefusalCode.VERSION_WITHDRAWN),
    (ACTIVE, False, 9, False, None),
    (ACTIVE, False, 11, False, RefusalCode.UNCONFIRMED),
    (ACTIVE, True, 11, False, RefusalCode.UNCONFIRMED),
    (ACTIVE, False, 0, True, RefusalCode.NO_VERSION),
    (ACTIVE, True, 0, True, None),
    (WITHDRAWN, True, 0, True, RefusalCode.VERSION_WITHDRAWN),
]


class AllowedTest(unittest.TestCase):
    """The check before each dispatch."""

    def test_cases(self):
        for state, bound, unconfirmed, rejected, code in ALLOWED:
            with self.subTest(state=state, bound=bound, rejected=rejected):
                config = configuration({"small-1": state}, unconfirmed_for=10)
                rejected_versions = frozenset({"small-1"}) if rejected else frozenset()
                restrictions = LocalRestrictions(unconfirmed, rejected_versions)
                refusal = check_allowed(config, "org", "small-1", bound, restrictions)
                self.assertEqual(refusal and refusal.code, code)

    def test_unlisted_versions_and_unknown_organisations_are_refused(self):
        config = configuration(organisation={"versions": ("small-1",)})
        for organisation, version in (("org", "large-1"), ("none", "small-1")):
            refusal = check_allowed(
                config, organisation, version, True, NO_RESTRICTIONS
            )
            self.assertEqual(refusal.code, RefusalCode.NOT_ALLOWED)

    def test_version_without_limit_needs_no_confirmation(self):
        restrictions = LocalRestrictions(float("inf"))
        self.assertIsNone(
            check_allowed(configuration(), "org", "small-1", False, restrictions)
        )


# requested name, states, pin, planned versions or refusal code
PLANS = [
    ("both", {}, None, ("small-1", "large-1")),
    ("small-1", {}, None, ("small-1",)),
    ("none", {}, None, RefusalCode.UNKNOWN_MODEL),
    ("both", {"small-1": WITHDRAWN}, None, ("small-2", "large-1")),
    ("both", {"small-1": DRAINING}, None, ("small-2", "large-1")),
    ("both", {"small-1": DRAINING}, pin(small="small-1"), ("small-1", "large-1")),
    (
        "both",
        {"small-1": WITHDRAWN},
        pin(small="small-1"),
        RefusalCode.VERSION_WITHDRAWN,
    ),
    ("both", {}, pin(small="small-2"), ("small-2", "large-1")),
    ("both", {}, pin(small="gone-9"), RefusalCode.VERSION_WITHDRAWN),
    ("small-2", {}, pin(small="small-1"), RefusalCode.NOT_ALLOWED),
    ("small-1", {"small-1": DRAINING}, pin(small="small-1"), ("small-1",)),
    ("small-1", {"small-1": DRAINING}, None, RefusalCode.NO_VERSION),
    (
        "both",
        dict.fromkeys(VERSIONS, WITHDRAWN),
        None,
        RefusalCode.NO_VERSION,
    ),
]


class PlanTest(unittest.TestCase):
    """The versions to try, and their order."""

    def test_cases(self):
        for requested_name, states, bound, expected in PLANS:
            with self.subTest(
                requested_name=requested_name, states=states, bound=bound
            ):
                self.assertEqual(
                    plan_names(configuration(states), requested_name, bound=bound),
                    expected,
                )

    def test_session_of_a_withdrawn_version_restarts_if_configured(self):
        config = configuration(
            {"small-1": WITHDRAWN},
            organisation={"on_withdrawn": OnWithdrawn.NEW_SESSION},
        )
        bound = pin(small="small-1")
        self.assertEqual(plan_names(config, bound=bound), ("small-2", "large-1"))

    def test_unlisted_cascades_are_refused(self):
        config = configuration(organisation={"cascades": ()})
        self.assertEqual(plan_names(config), RefusalCode.NOT_ALLOWED)


class RolloutShareTest(unittest.TestCase):
    """A share limits the exposure to the new version, and sessions keep theirs."""

    def new_sessions(self, config: Configuration) -> set[str]:
        """Return the sessions that are assigned to the new version."""
        return {s for s in SESSIONS if plan_names(config, session=s)[0] == "small-2"}

    def test_shares_by_state_and_stage(self):
        cases = [
            (RolloutState.RUNNING, 0, 0.05),
            (RolloutState.RUNNING, 1, 0.25),
            (RolloutState.PAUSED, 1, 0.25),
            (RolloutState.RUNNING, 2, 1.0),
            (RolloutState.DONE, 0, 1.0),
            (RolloutState.WITHDRAWN, 2, 0.0),
        ]
        for state, stage, share in cases:
            with self.subTest(state=state, stage=stage):
                config = configuration(rollout=rollout(state, stage))
                found = len(self.new_sessions(config)) / len(SESSIONS)
                self.assertAlmostEqual(found, share, delta=0.03)
                self.assertEqual(rollout_share(rollout(state, stage)), share)

    def test_later_stages_keep_the_sessions_of_earlier_ones(self):
        stages = [
            self.new_sessions(configuration(rollout=rollout(stage=stage)))
            for stage in range(3)
        ]
        self.assertLess(stages[0], stages[1])
        self.assertLess(stages[1], stages[2])

    def test_new_version_never_replaces_the_old_one(self):
        config = configuration({"small-1": WITHDRAWN}, rollout())
        on_old = [s for s in SESSIONS if session_fraction(s, rollout()) >= 0.05]
        for session in on_old[:50]:
            self.assertEqual(plan_names(config, session=session), ("large-1",))

    def test_rejected_version_gets_no_new_sessions_and_keeps_its_own(self):
        config = configuration(rollout=rollout(RolloutState.DONE))
        restrictions = LocalRestrictions(rejected=frozenset({"small-2"}))
        self.assertEqual(
            plan_names(config, restrictions=restrictions), ("small-1", "large-1")
        )
        bound = pin(small="small-2")
        self.assertEqual(
            plan_names(config, bound=bound, restrictions=restrictions),
            ("small-2", "large-1"),
        )


def program(*lines: str) -> str:
    """Return a policy program whose function has the given lines."""
    return "\n    ".join(("def route(request, candidates):", *lines))


REVERSED = program("return [c['name'] for c in reversed(candidates)]")
INVENTS = program("return ['secret-9', 'small-1', 'small-1']")
NOTHING = program("return []")
FAILS = program("return 1 // 0")
SPINS = program("for i in range(1000000000):", "    pass")
RECURSES = "def f(x):\n    return f(x)\n\n" + program("return f(1)")
WRONG_TYPE = program("return 'small-1'")
NO_FUNCTION = "def other():\n    pass"
NO_SYNTAX = "def route(:"
SPINS_AT_LOAD = "x = [i for i in range(1000000000)]\n" + NOTHING

# program, planned versions or refusal code, whether the check at apply accepts it
POLICIES = [
    (REVERSED, ("large-1", "small-1"), True),
    (INVENTS, ("small-1",), True),
    (NOTHING, RefusalCode.NOT_ALLOWED, True),
    (FAILS, ("small-1", "large-1"), False),
    (SPINS, ("small-1", "large-1"), False),
    (RECURSES, ("small-1", "large-1"), False),
    (WRONG_TYPE, ("small-1", "large-1"), False),
    (NO_FUNCTION, ("small-1", "large-1"), False),
    (NO_SYNTAX, ("small-1", "large-1"), False),
    (SPINS_AT_LOAD, ("small-1", "large-1"), False),
]


class PolicyTest(unittest.TestCase):
    """Programs cannot bypass the rules.

    A program that fails is refused when it is applied, and falls back to the default
    order when it runs.
    """

    def test_cases(self):
        for source, expected, is_valid in POLICIES:
            with self.subTest(source=source):
                policy = Policy(name="p", source=source)
                config = configuration(organisation={"policy": "p"}, policies=(policy,))
                self.assertEqual(plan_names(config), expected)
                self.assertEqual(PolicyPrograms.check(policy) is None, is_valid)

    def test_last_good_program_is_used_if_the_new_one_fails_to_load(self):
        programs = PolicyPrograms()
        programs.load((Policy(name="p", source=REVERSED),))
        programs.load((Policy(name="p", source=NO_SYNTAX),))
        config = configuration()
        request = PolicyRequest("org", "c", "both", "small", False)
        order = programs.order("p", request, config.content.versions)
        self.assertEqual(order, ("large-1", "small-2", "small-1"))
        self.assertIn("p", programs.failed)

    def test_errors_of_programs_that_are_not_in_force_are_dropped(self):
        good, bad = (Policy(name="p", source=s) for s in (REVERSED, NO_SYNTAX))
        for later in ((), (good,)):
            programs = PolicyPrograms()
            programs.load((good,))
            programs.load((bad,))
            programs.load(later)
            self.assertEqual(programs.failed, {}, later)

    def test_the_error_of_a_new_program_goes_with_it(self):
        programs = PolicyPrograms()
        programs.load((Policy(name="p", source=NO_SYNTAX),))
        self.assertIn("p", programs.failed)
        programs.load(())
        self.assertEqual(programs.failed, {})

    def test_execution_limit_is_deterministic(self):
        messages = {PolicyPrograms.check(Policy(name="p", source=SPINS))}
        messages.add(PolicyPrograms.check(Policy(name="p", source=SPINS)))
        self.assertEqual(len(messages), 1)
