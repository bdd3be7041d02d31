"""Decisions: target selection, limits, retries, steering, membership and settings."""
