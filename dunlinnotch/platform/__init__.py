"""Translate between the users' platform and this product; decide nothing.

The platform's headers, paths, fields and words appear in this folder only.
"""
