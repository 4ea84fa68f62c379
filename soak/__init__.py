"""Run the product's processes under random faults and check its guarantees."""
