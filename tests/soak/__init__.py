"""Tests of the soak test itself: its proxy and its checks."""
