"""Typed messages, headers and codecs; no sockets."""
