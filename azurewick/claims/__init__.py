"""Claims that keep non-repeatable requests to one run."""
