# Licensed under the Apache License 2.0: see LICENSE for details.

"""Pages and pictures of the docs that are made from the code."""
