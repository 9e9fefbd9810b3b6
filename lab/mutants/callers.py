# Licensed under the Apache License 2.0: see LICENSE for details.

"""What may be written on a caller's connection."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

MUTATIONS = [
    Mutation(
        "callers' connections: each head is parsed by itself",
        "transport/callerconnection.py",
        "for part in split_after_heads(self.read_before, data):",
        "for part in [data]:",
        "tests.transport.test_gateway.PipelinedTest."
        "test_a_request_gets_the_refusal_of_what_came_behind_it",
    ),
    Mutation(
        "callers' connections: a stop waits for what is still to be sent",
        "transport/gateway.py",
        "return bool(self.in_flight) or self.web.owe_bytes()",
        "return bool(self.in_flight)",
        "tests.transport.test_gateway.StopTest",
    ),
    Mutation(
        "callers' connections: none opens once the listener is closed",
        "transport/gateway.py",
        "        if self.closed:\n            handler.force_close()",
        "        pass",
        "tests.transport.test_gateway.ClosedListenerTest",
    ),
    Mutation(
        "callers' bodies: they are passed on as they are encoded",
        "transport/gateway.py",
        "            auto_decompress=False,\n",
        "",
        "tests.daemon.test_gatewayapi.BodyTest",
    ),
    Mutation(
        "streams before HTTP/1.1: the connection ends with them",
        "daemon/streamreply.py",
        "if self.server.draining or not self.framed:",
        "if self.server.draining:",
        "tests.daemon.test_gatewayapi.StreamConnectionTest."
        "test_another_answer_follows_a_stream_that_only_a_close_can_end",
    ),
    Mutation(
        "streams before HTTP/1.1: whatever cuts them resets the connection",
        "daemon/streamreply.py",
        "        self._on_close(reset_on_close)\n",
        "",
        "tests.daemon.test_gatewayapi.StreamConnectionTest."
        "test_a_stream_that_a_stop_cuts_is_not_whole",
    ),
    Mutation(
        "answers: a status that none has is a failure",
        "transport/connections.py",
        "            check_status(message)\n",
        "",
        "tests.transport.test_statuses.InvalidStatusTest",
    ),
    Mutation(
        "own streams: one that is not whole ends with its connection",
        "daemon/callers.py",
        "            self.request.transport.close()",
        "            await self.response.eof()",
        "tests.daemon.test_own_callers.StreamEndTest.test_one_that_broke_off",
    ),
    Mutation(
        "own streams: an error within one closes its connection",
        "transport/server.py",
        "        if stream is not None and stream.stage is Stage.RESPONSE:",
        "        if False:",
        "tests.daemon.test_own_callers.StreamEndTest.test_one_that_an_error_ended",
    ),
    Mutation(
        "requests that end engines: news told again move their sends as well",
        "state/requests/crashevidence.py",
        "        if sent < crash.sent[trace.fingerprint]:",
        "        if False:",
        "tests.state.requests.test_crashhistory.RepeatedTraceTest",
    ),
]
