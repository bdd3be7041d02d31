"""Benchmarks, run as modules; each compares its variants within one run."""
