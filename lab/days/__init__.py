# Licensed under the Apache License 2.0: see LICENSE for details.

"""What days on the users' bench lost, and to which causes.

Measured by running days of a deployment on the bench, which stands outside the
repository: losses by cause (``losses``), and the worth of deployments derived from a
given one (``derived``).
"""
