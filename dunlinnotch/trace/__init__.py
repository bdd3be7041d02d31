"""Analysis of box logs: the route of one request and the view that a box had.

Logs are read line by line, so they may be larger than memory.  Only the current view of one
box is held at a time.
"""
