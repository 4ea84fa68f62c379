"""The daemon that runs on each entry VM of the platform."""
