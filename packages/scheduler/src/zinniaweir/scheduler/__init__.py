"""Scheduler process: folds the log, owns regions and commands workers."""
