"""Which target takes a request: the least loaded by what is known, or by reports just asked for.

Upholds: a target set aside, leaving or replaced gets nothing new; a box keeps to
its own subset and its share of connections; waiting is bounded by rank and time.
"""
