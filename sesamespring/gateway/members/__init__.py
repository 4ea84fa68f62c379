"""Messages between the entry VMs, and which of them are alive."""
