"""Timings and rules compared within one run, as ratios; run as modules."""
