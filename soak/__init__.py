"""Run the real programs under random faults and check what callers and targets see."""
