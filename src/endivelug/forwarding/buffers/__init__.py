"""Bounds on the memory and descriptors that clients can make a process hold."""
