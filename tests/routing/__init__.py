"""Test the routing decisions."""
