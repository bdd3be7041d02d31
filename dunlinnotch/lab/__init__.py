"""Fault-injection experiments with real boxes and stand-ins for the users' platform.

A *scenario* defines the boxes, targets and callers of an experiment and the *faults*
to inject.  Boxes run as processes on loopback addresses of their own; the store, the
targets and the callers run in the process of the tool, and a loopback proxy on each
link to the store and to a target simulates network faults.  A *checker* verifies the
guarantees only from what callers and targets observed, so that a box cannot hide its
own errors.
"""
