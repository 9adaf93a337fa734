"""Run the host process."""

from . import main

main()
