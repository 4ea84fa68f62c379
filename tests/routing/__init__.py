"""Tests of sesamespring.routing."""
