"""Tests of sesamespring.platform."""
