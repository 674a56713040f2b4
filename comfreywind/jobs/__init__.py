"""Domain model of jobs, targets and VMs, and the encoding of the rows that store jobs."""
