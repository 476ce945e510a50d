"""The endpoint of the lab's fast senders lets all its clients connect."""

import asyncio
import socket

from martenjunction.decisions.boxes import endpoint_paths
from martenjunction_lab.fast_senders import forms
from martenjunction_lab.fast_senders import sender

# The most senders of a trial.
CLIENTS = 100


async def test_all_clients_connect_while_none_is_accepted() -> None:
    # Guards against a stand-in that a box takes for one that is not reached:
    # the kernel dropped what its queue had no room for.
    endpoint = sender.Endpoint(forms.FORMS["endpoint: chunks of 16 KB, plain"])
    host, port = endpoint.address.split(":")
    loop = asyncio.get_running_loop()
    clients = [socket.socket() for _ in range(CLIENTS)]
    connecting = []
    for client in clients:
        client.setblocking(False)
        connecting.append(
            asyncio.create_task(loop.sock_connect(client, (host, int(port))))
        )
    _, late = await asyncio.wait(
        connecting, timeout=endpoint_paths.CONNECT_TIMEOUT_S
    )
    for one in late:
        one.cancel()
    for client in clients:
        client.close()
    assert not late
