# Licensed under the Apache License 2.0: see LICENSE for details.

"""The path of every request, whichever way it came: stages, places, tries, ends.

It owns requests under way and what is known of those that end endpoints; it hears of
such from other VMs, and tells them.
"""
