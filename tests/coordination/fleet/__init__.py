# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the list of entry VMs and of the messages between them."""
