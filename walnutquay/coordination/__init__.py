# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tasks that own their sockets and state and communicate by messages."""
