"""Load on the owner's decisions: seeded callers, fake workers, and the worth that is earned."""
