"""Load benchmark of the dispatcher: seeded jobs, simulated workers and the value earned."""
