"""Choice of the target for a request: by estimated load, or by fresh load reports.

Guarantees: a target that is ejected, leaving or replaced gets no new requests, except for
trials and as a last resort where it is ejected; a box keeps to its own subset and its share
of connections; requests wait for a bounded time.
"""
