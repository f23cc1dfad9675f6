"""A planned stop of the product's own router while upstreams do not answer."""

import json
import signal
import threading

from measurements._cluster import fetch, stop_process, wait_until

from programs import authorization, chat_body, running_system


class Caller(threading.Thread):
    """Sends one request; ``answer`` is what came, or the error instead of it."""

    def __init__(self, url, body, headers):
        super().__init__(daemon=True)
        self.url = url
        self.body = body
        self.headers = {**authorization("org-a"), **headers}
        self.answer = None
        self.start()

    def run(self):
        try:
            self.answer = fetch(
                self.url, body=self.body, headers=self.headers, timeout_s=60.0
            )
        except OSError as error:
            self.answer = error


def begun(system):
    page = fetch(f"{system.vm.admin_url}/metrics")[2].decode()
    lines = [line for line in page.splitlines() if line[:1] not in ("", "#")]
    return sum(
        float(line.split()[-1])
        for line in lines
        if line.startswith("endivelug_requests_total")
    )


# Guards against requests that are cut without an answer when the limit of a planned
# stop is reached.
def test_requests_that_are_left_at_the_limit_of_a_stop_are_answered():
    with running_system(router_settings={"drain_limit_s": "1"}) as system:
        before = begun(system)
        for upstream in system.cluster.upstreams.values():
            upstream.send_signal(signal.SIGSTOP)
        url = system.vm.router_url
        callers = [
            Caller(f"{url}/v1/chat/completions", chat_body(), {}),
            Caller(f"{url}/services/orders/x", {}, {"Idempotency-Key": "k"}),
        ]
        wait_until(lambda: begun(system) == before + 2, what="two requests")
        # Some requests were cut off, which the exit code tells.
        assert stop_process(system.router) == 1
        for caller in callers:
            caller.join(60.0)
            status, _, body = caller.answer
            document = json.loads(body)
            assert (status, document["run"]) == (502, "may-have-run")
            assert document["type"].endswith("/stopped")
