"""Quotas of organisations over all VMs."""
