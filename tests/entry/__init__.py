"""Tests of sesamespring.entry."""
