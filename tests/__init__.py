"""Tests of snowdock.

Property tests are deterministic: their examples are derived from the test itself and have no
time limit. ``SNOWDOCK_RANDOM=1`` generates new examples on each run.
"""

import os

from hypothesis import settings

settings.register_profile("same", deadline=None, derandomize=True)
settings.register_profile("random", deadline=None)
settings.load_profile("random" if os.environ.get("SNOWDOCK_RANDOM") == "1" else "same")
