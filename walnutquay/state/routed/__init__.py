# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests on the operators' routes: choice of engine and of model.

This package estimates the reading work (prefill) that is queued at each engine, the
expected value of asking a larger model, and the number of retries that are allowed.
The inputs are the prompts that VMs have sent, the times at which answers began, and
the models' confidence in their answers.
"""
