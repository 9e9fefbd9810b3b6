# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests on the operators' routes: where prompts are read, and which model answers.

Decided here: the reading that lies before each engine, the expected value of a larger
model, and how many requests may be sent once more; from prompts that VMs have sent,
answers' beginnings, and models' opinions of their answers.
"""
