"""Randomized runs of gateway processes under faults, with their promises checked.

The way through the package: ``faults`` draws what goes wrong and when, ``run``
carries it out on the parts of ``deployment`` while ``callers`` send requests,
``observations`` keeps what callers and backend servers saw, and ``promises``
finds what must not have happened.
"""
