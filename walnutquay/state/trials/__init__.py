# Licensed under the Apache License 2.0: see LICENSE for details.

"""Versions on trial: which sessions they get, and whether they are good.

Decided from answers of both versions that all VMs have seen, and from the sessions that
each version has served.
"""
