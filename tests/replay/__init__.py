"""Tests of sesamespring.replay."""
