"""Counters, timers, metrics text and structured logs."""
