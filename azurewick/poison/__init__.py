"""Detection of requests that crash backend servers."""
