"""The process of a VM: follows the log, serves callers and, as the owner, schedules jobs."""
