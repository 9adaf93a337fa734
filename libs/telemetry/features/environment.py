"""Nothing to set up."""
