"""Detection and placement of requests that crash backend servers."""
