"""The way of one request from its head to its end, and of a planned stop.

Upholds: what may not be repeated runs at most once; refused as not run has not
run; the caller gets the whole answer to its own request; a stop cuts nothing.
"""
