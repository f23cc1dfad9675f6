"""Measurements that run the decision code and the programs of endivelug."""
