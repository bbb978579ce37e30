"""Jobs of several steps: what callers ask, what the log keeps, and its fold."""
