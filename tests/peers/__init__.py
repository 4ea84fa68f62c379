"""Tests of sesamespring.peers."""
