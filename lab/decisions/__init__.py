# Licensed under the Apache License 2.0: see LICENSE for details.

"""How well the decisions of our own interface do, against simpler ones.

Measured on stand-ins or by simulation: goodput and refusals under overload
(``admission``), cost of a good answer (``cascades``), latency and cache hits
(``choice``), exposure to bad versions and false alarms (``rollouts``).
"""
