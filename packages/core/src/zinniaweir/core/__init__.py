"""The scheduling core: applies events to its state and returns decisions with typed reasons."""
