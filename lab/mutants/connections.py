# Licensed under the Apache License 2.0: see LICENSE for details.

"""What serves the connections to endpoints."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

MUTATIONS = [
    Mutation(
        "second answers: bytes while no request is under way end the connection",
        "transport/connections.py",
        "if self.used and not self.under_way:",
        "if False:",
        "tests.transport.test_connections.StrayTest."
        "test_bytes_while_nobody_waits_end_the_connection",
    ),
    Mutation(
        "second answers: one to an earlier request is skipped",
        "transport/connections.py",
        "if kind is not StrayKind.EARLIER:",
        "if True:",
        "tests.coordination.routed.test_second_answers.SecondAnswerTest."
        "test_in_place_of_the_next_answer",
    ),
    Mutation(
        "second answers: a connection carries each id once",
        "transport/connections.py",
        "fits = bool(request) and request not in self.carried",
        "fits = bool(request)",
        "tests.coordination.routed.test_second_answers.SecondAnswerTest."
        "test_of_a_request_with_the_same_id",
    ),
    Mutation(
        "second answers: only answers that repeat the id keep a connection",
        "transport/connections.py",
        "            if not named:\n                # A second",
        "            if False:\n                # A second",
        "tests.transport.test_connections.KeptConnectionTest."
        "test_answers_without_an_id",
    ),
    Mutation(
        "what is given up does not arrive later",
        "transport/connections.py",
        "if transport is None or not self.under_way:",
        "if True:",
        "tests.coordination.routed.test_silence.AbandonedRequestTest.test_full_link",
    ),
    Mutation(
        "the whole answer: a reset is noticed late",
        "transport/client.py",
        "None if framed else answer._protocol",
        "None if framed or answer.connection is None else answer._protocol",
        "tests.coordination.routed.test_routed.CompleteBodyTest."
        "test_reset_is_detected_after_the_connection_is_released",
    ),
]
