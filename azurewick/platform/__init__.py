"""Adapter between the entry instances and the users' platform.

The package must not be at the top level: there it would shadow the module
platform of the standard library.
"""
