# Licensed under the Apache License 2.0: see LICENSE for details.

"""Messages, bodies and their codecs."""
