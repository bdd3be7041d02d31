"""Every decision: choice, limits, retries, steering, membership, settings."""
