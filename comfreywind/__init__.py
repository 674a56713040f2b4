"""Fleet capacity and maintenance manager for small diskless VMs."""

__version__ = '0.1.0'
