# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the packages that follow the platform's store."""
