"""Requests and prompts that crash upstreams: evidence, decision and exchange."""
