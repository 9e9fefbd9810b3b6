# Licensed under the Apache License 2.0: see LICENSE for details.

"""Lets `python -m walnutquay` run the command line."""

from __future__ import annotations

from walnutquay.cmdline import main

if __name__ == "__main__":
    main()
