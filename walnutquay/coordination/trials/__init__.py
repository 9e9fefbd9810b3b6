# Licensed under the Apache License 2.0: see LICENSE for details.

"""Versions on trial: who gets them, how they are judged, and what VMs tell of them.

It owns the trials; it hears orders and other VMs' counts, and tells both the store and
the VMs what was found.
"""
