"""Benchmark of the core at the size expected within two years."""
