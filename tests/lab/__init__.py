# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of simulated fleets, of mechanisms that are taken out, and of pages."""
