"""Adapter to the users' platform: its settings, messages and store.

It translates names and formats once into the project's types and decides
nothing. ``docs/platform.md`` describes the mapping.
"""
