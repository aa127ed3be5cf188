"""Tests of azurewick."""
