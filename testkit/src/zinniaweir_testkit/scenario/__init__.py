"""Parser and runner of a small language for failure scenarios."""
