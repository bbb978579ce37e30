"""Jobs of several steps: their specification, their records in the log and the job table."""
