"""Entry process: HTTP interface for callers and operators."""
