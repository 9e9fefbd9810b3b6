# Licensed under the Apache License 2.0: see LICENSE for details.

"""Whether a failure counts against the request or the endpoint."""

from __future__ import annotations

import unittest

from walnutquay.state.process.ids import EndpointName, Fingerprint
from walnutquay.state.requests import failures
from walnutquay.state.requests.failures import FailedRequests

ONE, OTHER = EndpointName("e1"), EndpointName("e2")
BAD, GOOD = Fingerprint("bad"), Fingerprint("good")


class FailedRequestsTest(unittest.TestCase):
    """A request that fails at two endpoints is itself at fault."""

    def setUp(self) -> None:
        self.failed = FailedRequests()

    def test_failures_at_one_endpoint_count_against_it(self):
        for now in (1.0, 2.0, 3.0):
            self.assertTrue(self.failed.counts_against_endpoint(BAD, ONE, now))

    def test_failures_at_two_endpoints_count_against_neither(self):
        self.assertTrue(self.failed.counts_against_endpoint(BAD, ONE, 1.0))
        for endpoint in (OTHER, ONE, OTHER):
            self.assertFalse(self.failed.counts_against_endpoint(BAD, endpoint, 2.0))

    def test_requests_are_counted_separately(self):
        self.failed.counts_against_endpoint(BAD, ONE, 1.0)
        self.failed.counts_against_endpoint(BAD, OTHER, 1.0)
        self.assertTrue(self.failed.counts_against_endpoint(GOOD, OTHER, 1.0))

    def test_an_answer_clears_the_failures_of_a_request(self):
        self.failed.counts_against_endpoint(BAD, ONE, 1.0)
        self.failed.counts_against_endpoint(BAD, OTHER, 1.0)
        self.failed.answered(BAD)
        self.assertTrue(self.failed.counts_against_endpoint(BAD, ONE, 2.0))

    def test_old_failures_are_forgotten(self):
        self.failed.counts_against_endpoint(BAD, ONE, 1.0)
        later = 1.0 + failures.FORGOTTEN_SECONDS + 1.0
        self.assertTrue(self.failed.counts_against_endpoint(BAD, OTHER, later))

    def test_memory_is_bounded(self):
        for number in range(failures.MAX_KEPT + 100):
            self.failed.counts_against_endpoint(Fingerprint(f"r{number}"), ONE, 1.0)
        self.assertEqual(len(self.failed.failed_at), failures.MAX_KEPT)
        self.assertEqual(len(self.failed.last), failures.MAX_KEPT)
