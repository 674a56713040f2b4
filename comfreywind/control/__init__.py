"""Control of pools: availability budgets, maintenance waves, reboots and moves of VMs."""
