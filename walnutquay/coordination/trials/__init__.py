# Licensed under the Apache License 2.0: see LICENSE for details.

"""Trials of new versions: session assignment, evaluation and agreement between VMs.

This package owns the trials.  It receives roll-out orders and the counts of other VMs,
and sends results to the store and to the VMs.
"""
