"""Run a host that listens for its peers elsewhere than at the address it publishes.

``translated_host.py PUBLISHED_ADDRESS LISTEN_ADDRESS --settings FILE``: a proxy at the
published address can then cut it off from the other hosts.
"""

import sys

from berylcleat.host import _process, main
from berylcleat.http import HttpServer


def run_translated(published_address, listen_address):
    """Run the host process of the settings with one address translated."""

    def make_server(address, *arguments):
        is_translated = address == published_address
        return HttpServer(listen_address if is_translated else address, *arguments)

    _process.HttpServer = make_server
    main()


if __name__ == "__main__":
    published, listen = sys.argv[1:3]
    del sys.argv[1:3]
    run_translated(published, listen)
