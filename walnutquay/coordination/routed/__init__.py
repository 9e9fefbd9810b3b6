# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests on the operators' routes: choice of endpoint and model, streams, retries.

This package owns the estimates of endpoints' load and of how much confidence larger
models gain.  It exchanges updates about long prompts and these gains with other VMs.
"""
