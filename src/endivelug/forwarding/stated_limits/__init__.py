"""Limits on requests that upstreams state in their answers."""
