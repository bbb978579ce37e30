"""Jobs of several steps: specification, records in the log, job table, losses of workers."""
