# Licensed under the Apache License 2.0: see LICENSE for details.

"""Whether a failure is the request's or the endpoint's."""

from __future__ import annotations

import unittest

from walnutquay.state.process.ids import EndpointName, Fingerprint
from walnutquay.state.requests import failures
from walnutquay.state.requests.failures import FailedRequests

ONE, OTHER = EndpointName("e1"), EndpointName("e2")
BAD, GOOD = Fingerprint("bad"), Fingerprint("good")


class FailedRequestsTest(unittest.TestCase):
    """A request that fails at two endpoints fails by itself."""

    def setUp(self) -> None:
        self.failed = FailedRequests()

    def test_failures_at_one_endpoint_count(self):
        for now in (1.0, 2.0, 3.0):
            self.assertTrue(self.failed.counts_against_endpoint(BAD, ONE, now))

    def test_failures_at_two_do_not(self):
        self.assertTrue(self.failed.counts_against_endpoint(BAD, ONE, 1.0))
        for endpoint in (OTHER, ONE, OTHER):
            self.assertFalse(self.failed.counts_against_endpoint(BAD, endpoint, 2.0))

    def test_each_request_for_itself(self):
        self.failed.counts_against_endpoint(BAD, ONE, 1.0)
        self.failed.counts_against_endpoint(BAD, OTHER, 1.0)
        self.assertTrue(self.failed.counts_against_endpoint(GOOD, OTHER, 1.0))

    def test_an_answer_shows_that_the_endpoints_failed(self):
        self.failed.counts_against_endpoint(BAD, ONE, 1.0)
        self.failed.counts_against_endpoint(BAD, OTHER, 1.0)
        self.failed.answered(BAD)
        self.assertTrue(self.failed.counts_against_endpoint(BAD, ONE, 2.0))

    def test_time(self):
        self.failed.counts_against_endpoint(BAD, ONE, 1.0)
        later = 1.0 + failures.FORGOTTEN_SECONDS + 1.0
        self.assertTrue(self.failed.counts_against_endpoint(BAD, OTHER, later))

    def test_memory_is_bounded(self):
        for number in range(failures.MAX_KEPT + 100):
            self.failed.counts_against_endpoint(Fingerprint(f"r{number}"), ONE, 1.0)
        self.assertEqual(len(self.failed.failed_at), failures.MAX_KEPT)
        self.assertEqual(len(self.failed.last), failures.MAX_KEPT)
