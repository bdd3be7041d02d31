"""Stand-ins for the users' platform: its store, workers and callers, with injected faults.

They implement the users' protocol on loopback addresses, so that the platform adapter and
complete entry boxes can be tested without the platform itself.
"""
