"""The scheduler needs no processes, so there is nothing to set up."""
