# Licensed under the Apache License 2.0: see LICENSE for details.

"""What claims of idempotency keys cost, and other ways to make them.

Measured on real processes and sockets: the time that a claim adds to a call
(``cost``), and the granted share, time and store writes of three designs (``ways``).
"""
