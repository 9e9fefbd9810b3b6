# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the types that all decisions share."""
