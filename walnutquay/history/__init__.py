# Licensed under the Apache License 2.0: see LICENSE for details.

"""What happened, read from the log lines of many entry VMs."""
