"""Membership of boxes: heartbeats, gossip of crash records, and steering of callers.

Guarantees that the traffic of one box is bounded, that state of an earlier start of a
box never replaces that of a later one, and that callers are not offered boxes that
failed or are leaving.
"""
