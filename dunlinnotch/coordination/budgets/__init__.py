"""What measuring and repeating may cost, over the whole system.

Upholds: the sum over all boxes stays within what the settings allow, whatever the
boxes believe of each other.
"""
