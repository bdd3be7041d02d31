"""The daemon, one plain process for each box."""
