import asyncio
import contextlib

import msgspec
from tests.gate_bench import Bench, ReportingBench

from sapphireway_coordination import (
    DEFAULT_SERVER_DIALECT,
    HealthClient,
    SelfReport,
    SuspectMarked,
)
from sapphireway_coordination.gate._knee import list_levels
from sapphireway_state import Policy
from sapphireway_transport import Broken, CurlServerClient, Responded
from sapphireway_transport.memory import run_paused


def make_polled_bench():
    return ReportingBench(policy=Policy(health_interval_ms=50), announced=False)


def test_restarted_node_uses_idle_server_after_first_poll():
    async def main():
        bench = make_polled_bench()
        bench.report = SelfReport(cold_s=0.0, in_flight=0)
        bench.announce(in_flight=None, cold_s=0.0, health_path="/health")
        assert bench.gate.get_load().limit == 0
        await asyncio.sleep(0.02)
        # All slots that it is given before it is known whether it has a knee.
        assert bench.gate.get_load().limit == list_levels(bench.server.slots)[0]

    run_paused(main())


def test_restarted_node_subtracts_requests_still_running():
    async def main():
        bench = make_polled_bench()
        bench.report = SelfReport(cold_s=0.0, in_flight=4)
        bench.announce(in_flight=None, cold_s=0.0, health_path="/health")
        await asyncio.sleep(0.02)
        assert bench.gate.get_load().limit == bench.server.slots - 4
        bench.report = SelfReport(cold_s=0.0, in_flight=3)
        await asyncio.sleep(0.6)
        assert bench.gate.get_load().limit == bench.server.slots - 3

    run_paused(main())


def test_server_with_a_limit_is_polled_for_a_share_of_it():
    async def main():
        bench = make_polled_bench()
        arrivals = bench.server.arrivals_s
        bench.report = SelfReport(requests_per_s=4.0, cold_s=0.0)
        bench.announce(cold_s=0.0, health_path="/health")
        started_s = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < started_s + 20.0:
            bench.send(f"a{asyncio.get_running_loop().time()}")
            await asyncio.sleep(0.02)
        assert len(arrivals) <= 20.0 * 4.0 * 1.25 + 2
        bench.report = SelfReport(cold_s=0.0)
        await asyncio.sleep(2.0)
        assert bench.gate.get_load().starts_per_s == 0.0

    run_paused(main())


class AnsweringBench(Bench):
    """A polled bench whose answers and health checks report what a test sets."""

    def __init__(self, answer, health):
        self.answer = answer
        self.health = health
        self.polls = 0
        dialect = msgspec.structs.replace(
            DEFAULT_SERVER_DIALECT, read_report=self.read_report
        )
        policy = Policy(health_interval_ms=50)
        super().__init__(policy=policy, dialect=dialect, announced=False)
        self.announce(cold_s=0.0, health_path="/health")

    def read_report(self, answer):
        # The server echoes the body, which a health check has not.
        if answer.body:
            return self.answer
        self.polls += 1
        return self.health

    async def send_for(self, seconds, interval_s):
        """Send requests and return the health checks meanwhile."""
        before = self.polls
        for number in range(round(seconds / interval_s)):
            self.send(f"a{before}-{number}", body=b"x")
            await asyncio.sleep(interval_s)
        return self.polls - before


def test_server_is_polled_rarely_while_answers_report_the_same():
    async def main():
        bench = AnsweringBench(SelfReport(slowness=1.0), SelfReport(slowness=1.0))
        await bench.send_for(1.0, 0.02)
        assert await bench.send_for(5.0, 0.02) <= 11

    run_paused(main())


def test_change_of_speed_is_noticed_at_once_while_answers_come():
    async def main():
        bench = AnsweringBench(SelfReport(slowness=1.0), SelfReport(slowness=1.0))
        await bench.send_for(1.0, 0.02)
        bench.answer = bench.health = SelfReport(slowness=3.0)
        await bench.send_for(0.12, 0.02)
        assert bench.gate.get_load().slowness == 3.0

    run_paused(main())


def test_change_of_speed_is_noticed_within_the_interval_after_the_last_answer():
    async def main():
        bench = AnsweringBench(SelfReport(slowness=1.0), SelfReport(slowness=1.0))
        await bench.send_for(1.0, 0.02)
        await asyncio.sleep(0.1)
        bench.answer = bench.health = SelfReport(slowness=3.0)
        await asyncio.sleep(0.08)
        assert bench.gate.get_load().slowness == 3.0

    run_paused(main())


def test_server_is_polled_at_the_interval_if_answers_report_less():
    async def main():
        limited = SelfReport(slowness=1.0, cold_s=0.0)
        bench = AnsweringBench(SelfReport(slowness=1.0), limited)
        await bench.send_for(1.0, 0.02)
        assert await bench.send_for(5.0, 0.02) >= 80

    run_paused(main())


def test_server_is_polled_at_the_interval_while_answers_are_further_apart():
    async def main():
        bench = AnsweringBench(SelfReport(slowness=1.0), SelfReport(slowness=1.0))
        await bench.send_for(1.0, 0.25)
        assert await bench.send_for(5.0, 0.25) >= 60

    run_paused(main())


class RecordingClient:
    """Records requests and returns the results in `results`, then 200."""

    def __init__(self, *results):
        self.requests = []
        self.results = list(results)

    async def send(self, request):
        self.requests.append(request)
        return self.results.pop(0) if self.results else Responded(200, (), b"")


def test_each_health_check_carries_an_id_of_its_own():
    async def main():
        client = RecordingClient()
        health = HealthClient(client, "Attempt")
        await health.fetch("http://s1/health")
        await health.fetch("http://s1/health")
        echoes = [request.echo_header for request in client.requests]
        assert echoes == [("Attempt", "health-1"), ("Attempt", "health-2")]
        assert [request.headers for request in client.requests] == [
            (echo,) for echo in echoes
        ]

    run_paused(main())


def test_health_answer_that_belongs_to_another_check_is_dropped():
    async def main():
        health = HealthClient(RecordingClient(Broken("of another request")), "Attempt")
        assert await health.fetch("http://s1/health") is None
        assert await health.fetch("http://s1/health") is not None

    run_paused(main())


MALFORMED_HEADS = [
    b"HTTP/1.1 200 OK\r\nX A: 1\r\n",
    b"HTTP/1.1 200 OK\r\nX\x01: 1\r\n",
    b"HTTP/1.1 200 OK\r\nAttempt : 1\r\n",
    b"HTTP/1.1 2000 OK\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
]


async def serve_malformed(reader, writer):
    """Answer the checks of a connection by the number at the end of their path."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            number = int(head.split()[1].rpartition(b"/")[2])
            begin = [*MALFORMED_HEADS, b"HTTP/1.1 200 OK\r\n"][number]
            writer.write(begin + b"Content-Length: 2\r\n\r\nok")
    writer.close()


async def check_health(numbers, observe=None):
    """Return the answers of health checks, each as polled and as asked by the gate."""
    server = await asyncio.start_server(serve_malformed, "127.0.0.1", 0)
    client = CurlServerClient(1)
    health = HealthClient(client, "Attempt", *([observe] if observe else []))
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/health/"
    answers = []
    for number in numbers:
        answers.append(await health.fetch(f"{url}{number}"))
        answers.append(await health.ask_if_up(f"{url}{number}", 1.0))
    health.close()
    server.close()
    return answers


def test_malformed_answer_to_a_health_check_is_not_believed():
    """Its head was, so that a server in trouble counted as sound."""
    count = len(MALFORMED_HEADS)
    answers = asyncio.run(check_health(range(count)))
    assert answers == [None, False] * count
    answer, is_up = asyncio.run(check_health([count]))
    assert answer.status == 200 and is_up


def test_fault_of_an_answer_to_a_health_check_is_reported_once():
    events = []
    asyncio.run(check_health([0, 0, 1, len(MALFORMED_HEADS), 1], events.append))
    assert [event.detail.partition("head: ")[2] for event in events] == [
        "0x20 in a field name, after 'X'",
        "0x01 in a field name, after 'X'",
        "0x01 in a field name, after 'X'",
    ]


def test_silent_health_check_reports_no_fault_of_an_answer():
    async def main():
        events = []
        results = Broken("late", timed_out=True), Broken("cut", disconnected=True)
        health = HealthClient(RecordingClient(*results), "Attempt", events.append)
        assert await health.fetch("http://s1/health") is None
        assert await health.fetch("http://s1/health") is None
        assert events == []

    run_paused(main())


def test_health_check_without_echo_carries_no_id():
    async def main():
        client = RecordingClient()
        await HealthClient(client).fetch("http://s1/health")
        assert client.requests[0].headers == ()
        assert client.requests[0].echo_header is None

    run_paused(main())


def test_health_checks_and_requests_use_different_clients():
    async def main():
        client = RecordingClient()
        bench = Bench(
            policy=Policy(health_interval_ms=50),
            announced=False,
            health_client=HealthClient(client),
        )
        bench.announce(cold_s=0.0, health_path="/health")
        await bench.call("a")
        await asyncio.sleep(0.2)
        assert await bench.gate._is_server_up()
        assert len(bench.server.arrivals_s) == 1
        assert {request.url for request in client.requests} == {"http://s1/health"}

    run_paused(main())


class HealthServer:
    """Answers on real connections, but not the requests in `unanswered`.

    Attributes
    ----------
    asked : int
        Requests that arrived, health checks included.
    unanswered : set of int
        Numbers of those that get no answer, nor do later ones on the connection.
    connections : int
        Open now.
    connections_max : int
        The server closes those beyond.
    """

    def __init__(self, *unanswered, connections_max=200):
        self.asked = 0
        self.unanswered = set(unanswered)
        self.connections = 0
        self.connections_max = connections_max

    @contextlib.asynccontextmanager
    async def listen(self):
        server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        async with server:
            yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _handle(self, reader, writer):
        if self.connections >= self.connections_max:
            writer.transport.abort()
            return
        self.connections += 1
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    self.asked += 1
                    if self.asked in self.unanswered:
                        await reader.read()
                        return
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        finally:
            self.connections -= 1
            writer.close()


async def wait_for_check(server, number):
    async with asyncio.timeout(5.0):
        while server.asked < number:
            await asyncio.sleep(0.005)


def test_cut_request_is_not_suspect_while_a_health_check_gets_no_answer():
    # The check whether the server is up waited for the connection of the other one.
    async def main():
        server = HealthServer(1)
        health = HealthClient(CurlServerClient(1), "Attempt")
        async with server.listen() as url:
            bench = Bench(
                policy=Policy(health_interval_ms=20),
                announced=False,
                health_client=health,
            )
            bench.announce(url=url, cold_s=0.0, health_path="/health")
            await wait_for_check(server, 1)
            bench.server.crash_on = lambda request: True
            async with asyncio.timeout(0.5):  # half of what the other check may take
                await bench.call("a", digest="d" * 16)
            assert bench.list_events(SuspectMarked) == []
            # Polling goes on after the check that was given up, on one connection.
            await wait_for_check(server, 4)
            assert server.connections == 1
            bench.gate.close()
            health.close()

    asyncio.run(main())


def test_checks_whether_the_server_is_up_have_their_time_each():
    # A second one within the time of the first shared what was left of its own.
    async def main():
        server = HealthServer(1)
        health = HealthClient(CurlServerClient(1), "Attempt")
        async with server.listen() as url:
            asks = [health.ask_if_up(url, 0.1) for _ in range(2)]
            assert await asyncio.gather(*asks) == [False, True]
            health.close()

    asyncio.run(main())


def test_cancelled_health_check_leaves_the_connection_to_the_next():
    # A node that stops during a check must not hold it, and a gate that is closed and
    # opened again must be able to ask.
    async def main():
        server = HealthServer(1)
        health = HealthClient(CurlServerClient(1), "Attempt")
        async with server.listen() as url:
            poll = asyncio.create_task(health.fetch(url))
            await wait_for_check(server, 1)
            poll.cancel()
            assert await health.ask_if_up(url, 0.1)
            assert poll.cancelled()
            health.close()

    asyncio.run(main())


def test_requests_use_the_only_connection_that_a_server_accepts():
    # The kept connection of the health checks was the only one, so each request broke.
    async def main():
        server = HealthServer(connections_max=1)
        health = HealthClient(CurlServerClient(1), "Attempt")
        client = CurlServerClient()
        async with server.listen() as url:
            bench = Bench(
                policy=Policy(health_interval_ms=20),
                announced=False,
                health_client=health,
            )
            bench.gate._client = bench.gate._runner._client = client
            bench.announce(
                url=url, cold_s=0.0, connections_max=1, health_path="/health"
            )
            await asyncio.sleep(0.1)
            outcomes = [(await bench.call(name)).outcome for name in "abc"]
            assert outcomes == ["answered"] * 3
            bench.gate.close()
            client.close()
            health.close()

    asyncio.run(main())


def test_server_with_one_connection_is_not_asked_for_its_health():
    async def main():
        health = RecordingClient()
        bench = Bench(
            policy=Policy(health_interval_ms=50),
            announced=False,
            health_client=HealthClient(health),
        )
        bench.announce(cold_s=0.0, connections_max=1, health_path="/health")
        await asyncio.sleep(1.0)
        assert not await bench.gate._is_server_up()
        assert health.requests == []
        assert bench.server.connections_max == 1
        bench.announce(cold_s=0.0, connections_max=2, health_path="/health")
        await asyncio.sleep(1.0)
        assert health.requests
        assert bench.server.connections_max == 1

    run_paused(main())
