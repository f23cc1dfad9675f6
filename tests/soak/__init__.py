"""Randomized soak: real router processes, faults from outside, promises checked."""
