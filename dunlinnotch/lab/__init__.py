"""Experiments with real entry boxes on stand-ins of the users' platform.

A *day* says how many boxes, targets and callers there are and what goes wrong
when.  Boxes run as processes on loopback addresses of their own; the store,
the targets and the callers run in the process of the tool, and a loopback
proxy stands on each link to the store and to a target.  A *referee* checks the
promises from what callers and targets saw, nothing else.
"""
