# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the documents show and is made from the code."""
