"""Serve one HTTP resource with the limits of the entry's HTTP interface."""

import sys

import cherrypy

from chicorycrank.entry.http_api import configure_server


class Resource:
    """Root resource."""

    @cherrypy.expose
    def index(self) -> bytes:
        """Return a fixed body."""
        return b"ok"


def main() -> None:
    configure_server("127.0.0.1", int(sys.argv[1]), 4)
    cherrypy.tree.mount(Resource(), "/")
    cherrypy.engine.start()
    cherrypy.engine.block()


if __name__ == "__main__":
    main()
