"""Budgets of probes and retries, over all boxes.

Guarantee: the sum over all boxes stays within the limits of the settings, even while the
boxes' views of each other differ.
"""
