# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sockets, servers, clients and the timer service."""
