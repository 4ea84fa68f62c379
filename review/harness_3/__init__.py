"""Deployment, client and record for the scripts of the third review."""
