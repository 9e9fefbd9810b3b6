# Licensed under the Apache License 2.0: see LICENSE for details.

"""Experiments and measurements, in one package for each subject."""
