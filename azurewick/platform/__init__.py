"""Adapter between the entry instances and the users' platform.

The folder can't be a top-level package: it would shadow the standard
library's module of the same name.
"""
