"""A self-contained HTML report from records of benchmarks and clusters."""
