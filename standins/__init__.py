# Licensed under the Apache License 2.0: see LICENSE for details.

"""Small stand-ins for the systems that walnutquay serves and uses."""
