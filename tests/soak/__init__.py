"""Randomized soak: real router processes, injected faults, checked guarantees."""
