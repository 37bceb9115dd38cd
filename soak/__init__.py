"""A randomized soak of entry instances with faults from outside their processes."""
