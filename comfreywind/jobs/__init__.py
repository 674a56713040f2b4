"""Jobs as the product knows them: models, states, the rows kept, and what a caller sees."""
