"""Rule bundles: border models, validation and the rules used inside."""
