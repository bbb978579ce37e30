"""Pytest configuration for all tests."""

import platform
from pathlib import Path

# The directory `platform/` has the same name as a module of the standard library. When pytest
# imports tests from such a directory, it replaces a module that has no `__path__` by an empty one.
# With a `__path__` the standard library's module stays, and the tests are found below it.
platform.__path__ = [str(Path(__file__).parent / "platform")]  # type: ignore[attr-defined]
