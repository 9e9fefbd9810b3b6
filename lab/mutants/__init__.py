# Licensed under the Apache License 2.0: see LICENSE for details.

"""Mechanisms that may be taken out, with the tests that must fail then."""
