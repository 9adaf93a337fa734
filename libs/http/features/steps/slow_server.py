"""Server process whose handler takes a while: ``slow_server.py ADDRESS SECONDS``."""

import asyncio
import sys

from berylcleat.http import HttpRequest, HttpResponse, HttpServer


async def serve(address: str, delay_s: float) -> None:
    """Serve until the process is killed."""

    async def handle(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(delay_s)
        return HttpResponse(200, (), str(len(request.body)).encode())

    await HttpServer(address, handle).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], float(sys.argv[2])))
