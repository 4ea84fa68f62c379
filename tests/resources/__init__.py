"""Tests of sesamespring.resources."""
