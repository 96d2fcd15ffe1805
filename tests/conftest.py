"""Settings of all tests."""

from hypothesis import settings

# The verdict must be the same in each run, also beside load: examples follow from the test
# itself, and no example has a time limit.
settings.register_profile("reproducible", derandomize=True, deadline=None)
settings.load_profile("reproducible")
