"""Settings of all tests."""

import platform
from pathlib import Path

# The folder `platform/` has the name of a module of the standard library. Pytest replaces a module
# without a path by an empty one when it imports tests from a folder of that name; with a path the
# standard library's module stays, and the tests are found below it.
platform.__path__ = [str(Path(__file__).parent / "platform")]  # type: ignore[attr-defined]
