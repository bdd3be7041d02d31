"""How settings and the list of targets are followed, edited and put in force.

Upholds: versions only rise; a change that was accepted is in force everywhere in
time; a box knows how old its knowledge is and acts by it.
"""
