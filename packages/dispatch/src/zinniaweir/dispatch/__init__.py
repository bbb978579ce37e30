"""Scheduling decisions of the owner: which task runs on which worker, and when it is stopped."""
