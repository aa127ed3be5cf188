"""Soak test of entry instances under random faults.

It starts entry instances as processes, with a store, backend servers and
callers, injects faults, and checks the recorded requests against the
guarantees of the entry instances.
"""
