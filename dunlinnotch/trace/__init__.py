"""Read the logs of many boxes: the way of one request, and what a box believed.

Logs are read line by line, so they may be larger than memory; what is kept is
what one box can believe at a time.
"""
