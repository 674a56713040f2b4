"""Control work: pools, availability budgets, maintenance waves and VM moves."""
