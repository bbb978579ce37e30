"""Heartbeats between VMs, the live view, and ownership of shards."""
