"""Search for inputs and orders of events that break what connections promise.

The connections are the product's; time and TCP are simulated, so that a run takes a
millisecond, is the same each time, and may wait for a minute.
"""
