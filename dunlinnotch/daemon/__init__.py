"""The daemon: one process per box."""
