"""Entry process: HTTP interface for clients and operators."""
