"""Stand-ins for the platform and for targets, each run as a separate process."""
