"""Adapters between the platform's formats and the types used in this project.

Names of the platform's settings, headers, tables and fields occur only here.
"""
