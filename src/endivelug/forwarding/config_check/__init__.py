"""Validation of a routing configuration before it is sent."""
