"""A small system of processes on loopback addresses, for the demo, tests and benchmarks."""
