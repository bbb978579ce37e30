"""Ledger of non-idempotent requests, which run at most once."""
