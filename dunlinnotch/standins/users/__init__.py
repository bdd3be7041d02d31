"""Stand-ins of the users' platform: its store and its workers, with faults on demand.

They speak the users' protocol on loopback, so that the adapter and the whole
entry box are tested without the users' bench.
"""
