# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which versions may serve: fault tables against the pure decision."""

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
NO_DOUBTS = LocalRestrictions()
SESSIONS = [SessionId(f"ses-{number}") for number in range(2000)]


def configuration(
    states: dict[str, VersionState] | None = None,
    rollout: Rollout | None = None,
    organisation: dict[str, Any] | None = None,
    unconfirmed_for: float = 0.0,
    policies: tuple[Policy, ...] = (),
) -> Configuration:
    """:returns: two models, one organisation, one cascade over both models."""
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
    """:returns: a session's pin on the given version of each model."""
    bound = tuple(sorted(versions.items()))
    return Pin(SessionId("s"), OrganisationName("org"), bound)


def ask(
    config: Configuration,
    asked: str = "both",
    session: str = "s",
    bound: Pin | None = None,
    doubts: LocalRestrictions = NO_DOUBTS,
):
    """:returns: the plan's version names, or the refusal's code."""
    programs = PolicyPrograms()
    programs.load(config.content.policies)
    question = RoutingRequest(
        config.organisations["org"], asked, "c", "small", False, session, bound
    )
    result = plan(config, programs, question, doubts)
    if result.is_error():
        return result.error.code
    return tuple(version.name for version in result.ok.steps)


def rollout(state: RolloutState = RolloutState.RUNNING, stage: int = 0) -> Rollout:
    """:returns: a roll-out from small-1 to small-2."""
    return Rollout(
        name="r", model="small", old="small-1", new="small-2", state=state, stage=stage
    )


ACTIVE, DRAINING, WITHDRAWN = VersionState

# version's state, bound to it?, seconds unconfirmed, braked? -> code or None
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
    """The last word before a dispatch."""

    def test_table(self):
        for state, bound, unconfirmed, rejected, code in ALLOWED:
            with self.subTest(state=state, bound=bound, rejected=rejected):
                config = configuration({"small-1": state}, unconfirmed_for=10)
                held = frozenset({"small-1"}) if rejected else frozenset()
                doubts = LocalRestrictions(unconfirmed, held)
                refusal = check_allowed(config, "org", "small-1", bound, doubts)
                self.assertEqual(refusal and refusal.code, code)

    def test_only_listed_versions_and_known_organisations(self):
        config = configuration(organisation={"versions": ("small-1",)})
        for organisation, version in (("org", "large-1"), ("none", "small-1")):
            refusal = check_allowed(config, organisation, version, True, NO_DOUBTS)
            self.assertEqual(refusal.code, RefusalCode.NOT_ALLOWED)

    def test_a_settled_version_needs_no_confirmation(self):
        doubts = LocalRestrictions(float("inf"))
        self.assertIsNone(
            check_allowed(configuration(), "org", "small-1", False, doubts)
        )


# asked, states, pin -> the plan's versions, or a code
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

    def test_table(self):
        for asked, states, bound, expected in PLANS:
            with self.subTest(asked=asked, states=states, bound=bound):
                self.assertEqual(
                    ask(configuration(states), asked, bound=bound), expected
                )

    def test_a_withdrawn_session_may_begin_anew_where_the_organisation_says_so(self):
        config = configuration(
            {"small-1": WITHDRAWN},
            organisation={"on_withdrawn": OnWithdrawn.NEW_SESSION},
        )
        bound = pin(small="small-1")
        self.assertEqual(ask(config, bound=bound), ("small-2", "large-1"))

    def test_cascades_of_others_are_refused(self):
        config = configuration(organisation={"cascades": ()})
        self.assertEqual(ask(config), RefusalCode.NOT_ALLOWED)


class RolloutShareTest(unittest.TestCase):
    """A share bounds the exposure to the new version, and holds sessions."""

    def new_sessions(self, config: Configuration) -> set[str]:
        """:returns: the sessions that begin on the new version."""
        return {s for s in SESSIONS if ask(config, session=s)[0] == "small-2"}

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

    def test_the_new_version_never_stands_in_for_the_old(self):
        config = configuration({"small-1": WITHDRAWN}, rollout())
        kept_out = [s for s in SESSIONS if session_fraction(s, rollout()) >= 0.05]
        for session in kept_out[:50]:
            self.assertEqual(ask(config, session=session), ("large-1",))

    def test_a_braked_version_gets_no_new_session_and_keeps_its_own(self):
        config = configuration(rollout=rollout(RolloutState.DONE))
        doubts = LocalRestrictions(rejected=frozenset({"small-2"}))
        self.assertEqual(ask(config, doubts=doubts), ("small-1", "large-1"))
        bound = pin(small="small-2")
        self.assertEqual(
            ask(config, bound=bound, doubts=doubts), ("small-2", "large-1")
        )


def program(*lines: str) -> str:
    """:returns: a policy program whose function has the given lines."""
    return "\n    ".join(("def route(request, candidates):", *lines))


REVERSED = program("return [c['name'] for c in reversed(candidates)]")
INVENTS = program("return ['secret-9', 'small-1', 'small-1']")
NOTHING = program("return []")
FAILS = program("return 1 // 0")
SPINS = program("for i in range(1000000000):", "    pass")
RECURSES = "def f(x):\n    return f(x)\n\n" + program("return f(1)")
WRONG_TYPE = program("return 'small-1'")
NOT_THERE = "def other():\n    pass"
NO_SYNTAX = "def route(:"
SPINS_AT_LOAD = "x = [i for i in range(1000000000)]\n" + NOTHING

# program -> what the plan is, and whether the check at apply takes it
POLICIES = [
    (REVERSED, ("large-1", "small-1"), True),
    (INVENTS, ("small-1",), True),
    (NOTHING, RefusalCode.NOT_ALLOWED, True),
    (FAILS, ("small-1", "large-1"), False),
    (SPINS, ("small-1", "large-1"), False),
    (RECURSES, ("small-1", "large-1"), False),
    (WRONG_TYPE, ("small-1", "large-1"), False),
    (NOT_THERE, ("small-1", "large-1"), False),
    (NO_SYNTAX, ("small-1", "large-1"), False),
    (SPINS_AT_LOAD, ("small-1", "large-1"), False),
]


class PolicyTest(unittest.TestCase):
    """No program breaks what must hold; a bad one is refused, or falls back."""

    def test_table(self):
        for source, expected, taken in POLICIES:
            with self.subTest(source=source):
                policy = Policy(name="p", source=source)
                config = configuration(organisation={"policy": "p"}, policies=(policy,))
                self.assertEqual(ask(config), expected)
                self.assertEqual(PolicyPrograms.check(policy) is None, taken)

    def test_a_program_that_goes_bad_leaves_the_last_good_one(self):
        programs = PolicyPrograms()
        programs.load((Policy(name="p", source=REVERSED),))
        programs.load((Policy(name="p", source=NO_SYNTAX),))
        config = configuration()
        request = PolicyRequest("org", "c", "both", "small", False)
        order = programs.order("p", request, config.content.versions)
        self.assertEqual(order, ("large-1", "small-2", "small-1"))
        self.assertIn("p", programs.failed)

    def test_the_bound_is_the_same_on_each_run(self):
        messages = {PolicyPrograms.check(Policy(name="p", source=SPINS))}
        messages.add(PolicyPrograms.check(Policy(name="p", source=SPINS)))
        self.assertEqual(len(messages), 1)
