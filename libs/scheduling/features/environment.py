"""Nothing to set up: the decisions need no process."""
