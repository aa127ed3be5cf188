"""Stand-ins for the systems azurewick connects to.

Tests, benchmarks, the demonstration and the soak use them in place of model
engines, plain services and the object store.
"""
