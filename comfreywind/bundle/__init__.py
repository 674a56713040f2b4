"""Rule bundles: input models, validation and the rules that the program uses."""
