"""Latency of calls with the node's curl client and with tornado's.

Run it with ``python -m benchmarks.server_client``. In alternating rounds, both
clients call the same minimal tornado server, which runs in a separate process.
"""

import asyncio
import multiprocessing
import time

import tornado.curl_httpclient
import tornado.httpclient
import tornado.httpserver
import tornado.httputil
import tornado.netutil

from sapphireway_transport import CurlServerClient, ServerRequest

CALLS_PER_ROUND = 300
ROUNDS = 5
ANSWER = b"x" * 200


class _Handler(tornado.httputil.HTTPServerConnectionDelegate):
    def start_request(self, server_conn, request_conn):
        return _Message(request_conn)


class _Message(tornado.httputil.HTTPMessageDelegate):
    def __init__(self, connection):
        self._connection = connection

    def finish(self):
        headers = tornado.httputil.HTTPHeaders({"Content-Length": str(len(ANSWER))})
        line = tornado.httputil.ResponseStartLine("HTTP/1.1", 200, "OK")
        self._connection.write_headers(line, headers, ANSWER)
        self._connection.finish()


def _serve(port_sender):
    async def main():
        server = tornado.httpserver.HTTPServer(_Handler())
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        port_sender.send(sockets[0].getsockname()[1])
        await asyncio.Event().wait()

    asyncio.run(main())


async def _measure(send, durations_s):
    for _ in range(CALLS_PER_ROUND):
        start_s = time.perf_counter()
        await send()
        durations_s.append(time.perf_counter() - start_s)


async def _compare(url):
    node_client = CurlServerClient()
    tornado_client = tornado.curl_httpclient.CurlAsyncHTTPClient()
    request = ServerRequest(url, "GET", (), b"", 5.0, 1 << 20)
    durations_s = {"multi": [], "tornado": []}

    async def send_by_node_client():
        await node_client.send(request)

    async def send_by_tornado():
        await tornado_client.fetch(url, request_timeout=5.0)

    for send in (send_by_node_client, send_by_tornado):
        await _measure(send, [])
    for _ in range(ROUNDS):
        await _measure(send_by_node_client, durations_s["multi"])
        await _measure(send_by_tornado, durations_s["tornado"])
    node_client.close()
    return durations_s


def main() -> None:
    """Print the percentiles of both clients and their ratio."""
    port_receiver, port_sender = multiprocessing.Pipe(duplex=False)
    server = multiprocessing.Process(target=_serve, args=(port_sender,), daemon=True)
    server.start()
    durations_s = asyncio.run(_compare(f"http://127.0.0.1:{port_receiver.recv()}/"))
    server.terminate()
    medians = {}
    for name, values in durations_s.items():
        values.sort()
        medians[name] = values[len(values) // 2]
        p99_s = values[len(values) * 99 // 100]
        print(f"{name:8} p50 {medians[name] * 1e3:.3f} ms  p99 {p99_s * 1e3:.3f} ms")
    print(f"ratio at p50: {medians['tornado'] / medians['multi']:.2f}")


if __name__ == "__main__":
    main()
