# Licensed under the Apache License 2.0: see LICENSE for details.

"""The own interface: chats, services, idempotency keys, bills and pins, and its fleet.

It manages its configuration, claims, bills and membership.  It receives messages from
the platform and the other VMs, and sends messages to them.
"""
