# Licensed under the Apache License 2.0: see LICENSE for details.

"""The objects that all parts of a process share: name, clock, timers, log and tasks.

This package receives no messages and writes only to the log.
"""
