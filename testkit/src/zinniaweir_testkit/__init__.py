"""Runs the real processes, with injected faults, for demos, scenarios and benchmarks."""
