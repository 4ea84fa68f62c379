"""Translate what the platform says and is told; nothing else knows its names."""
