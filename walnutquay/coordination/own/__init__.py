# Licensed under the Apache License 2.0: see LICENSE for details.

"""Our own interface: chats and services, keys, bills, pins, and the fleet behind them.

It owns its configuration, claims, bills and membership; it hears from the platform and
the other VMs, and tells them.
"""
