"""Processing of a request from its head to its end, and planned stops of a box.

Guarantees: a request that is not idempotent runs at most once; a request reported as not
run has not run; callers get the complete answer to their own request; a planned stop breaks
off no request.
"""
