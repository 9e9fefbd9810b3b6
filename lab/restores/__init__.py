# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a restore of the store costs."""
