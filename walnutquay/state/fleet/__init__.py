# Licensed under the Apache License 2.0: see LICENSE for details.

"""The membership of the fleet, and the choice of the VM for tasks that are done once.

Both are computed from what VMs report about themselves, in the same way at each VM.
"""
