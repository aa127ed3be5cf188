"""Tests of the poison detector and of the placement of suspects."""
