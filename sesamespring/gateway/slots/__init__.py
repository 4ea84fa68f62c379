"""Slots at targets: the requests for them, and the schedulers that grant them."""
