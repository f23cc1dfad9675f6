"""Admission control of calls that wait for an upstream."""
