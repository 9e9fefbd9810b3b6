# Licensed under the Apache License 2.0: see LICENSE for details.

"""Trials of new versions: session assignment and evaluation.

Both use the outcomes of the two versions that all VMs have counted, and a record of
which version served each session.
"""
