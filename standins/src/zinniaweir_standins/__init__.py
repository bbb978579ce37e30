"""Stand-ins for the platform and the upstreams, for demos and tests."""
