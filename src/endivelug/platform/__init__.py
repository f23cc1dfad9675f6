"""Adapter to the users' platform: its settings, formats and calls.

The routing decisions are made in ``endivelug.forwarding``.
"""
