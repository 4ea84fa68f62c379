"""Traces of both deployments, and the program that generates them."""
