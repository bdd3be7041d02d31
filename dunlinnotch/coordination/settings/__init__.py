"""Following, editing and activating the settings and the list of targets.

Guarantees: versions only rise; an accepted change becomes active on all boxes in bounded
time; a box knows the age of its local copy and acts accordingly.
"""
