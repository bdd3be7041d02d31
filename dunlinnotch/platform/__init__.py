"""Adapter to the users' platform: translates its formats and makes no decisions.

The headers, paths and field names of the platform are used in this package only.
"""
