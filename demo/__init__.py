"""A small system of plain processes on loopback, for the demo, tests and benchmarks."""
