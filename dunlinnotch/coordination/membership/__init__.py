"""Which boxes there are, what they tell each other, and which a caller should use.

Upholds: what a box sends is bounded; a box never speaks for an older start of
itself; silent and leaving boxes are not offered.
"""
