# Licensed under the Apache License 2.0: see LICENSE for details.

"""What all parts of one process share: its name, clock, timers, log and tasks.

It hears nothing and tells only the log.
"""
