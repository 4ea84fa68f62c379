"""Tests of the daemon of an entry VM on the platform."""
