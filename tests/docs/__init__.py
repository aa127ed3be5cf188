"""Tests of the pages for operators."""
