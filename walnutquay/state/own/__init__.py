# Licensed under the Apache License 2.0: see LICENSE for details.

"""Our own interface: organisations, versions, cascades, claims, bills and sessions.

Decided from the operators' configuration, which stands whole in the store, and from the
tokens and keys of callers.
"""
