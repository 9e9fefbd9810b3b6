# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests on the operators' routes: choice of endpoint and model, streams, retries.

It owns what is believed of endpoints' load and models' gains; it hears of long prompts
and of gains from other VMs, and tells them.
"""
