"""Steps of answers to takeover notices."""

import asyncio

from behave import then, when

from berylcleat.host._peers import PeerClient, TakeoverNotice
from berylcleat.http import HttpResponse, HttpServer
from berylcleat.standins import find_free_ports


@when("a takeover notice is answered with 200 and {body}")
def step_answer(context, body):
    async def handle(request):
        return HttpResponse(200, (), body.encode())

    async def send():
        address = f"127.0.0.1:{find_free_ports(1)[0]}"
        server = HttpServer(address, handle)
        await server.start()
        try:
            notice = TakeoverNotice("r1", 3, "c-1")
            return await PeerClient().send_takeover(address, notice)
        finally:
            await server.stop(0.1)

    context.reply = asyncio.run(send())


@then("the earlier owner may still run")
def step_may_run(context):
    assert context.reply is None, context.reply


@then("the earlier owner has stopped")
def step_stopped(context):
    assert context.reply is not None
