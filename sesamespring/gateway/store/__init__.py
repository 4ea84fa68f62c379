"""The platform's store: its tables, their copies on this VM, and the state in them."""
