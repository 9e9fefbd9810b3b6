# Licensed under the Apache License 2.0: see LICENSE for details.

"""The state behind Walnutquay's own interface.

It comprises organisations, versions, cascades, claims, bills and sessions.  Decisions
rest on the operators' configuration, which is stored in full, and on the tokens and
keys of callers.
"""
