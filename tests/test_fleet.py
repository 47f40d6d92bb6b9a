"""Fleets of separate processes under kills, freezes, outages and races.

No assertion depends on timing: a wait ends as soon as its condition holds, and fails
only if that never happens.
"""

import asyncio
import json
import signal
from collections import Counter

import uuid6
from testtools import TestCase

from harness.fleet import Fleet

TRACKERS = ("sofia-1a", "sofia-2a")
PAYERS = ("sofia-1b", "sofia-2b")
RATE_PER_S = 20
BURST = 24

DOCUMENT = f"""\
service: payments
seats: 12
routes:
  - {{name: deposit, path: /deposit, methods: [POST], open: true, idempotent: false,
     importance: critical, timeout_ms: 8000}}
  - {{name: balance, path: /balance, methods: [GET], open: true, idempotent: true,
     retries: 2, timeout_ms: 8000}}
  - {{name: history, path: /history, methods: [GET], open: true, idempotent: true,
     timeout_ms: 300000}}
  - {{name: audit, path: /audit, methods: [GET], open: false, idempotent: true}}
organisations:
  remenar-01: {{rate_per_s: 1000, burst: 1000}}
  remenar-02: {{rate_per_s: {RATE_PER_S}, burst: {BURST}}}
"""


class FleetCase(TestCase):
    """Base of the tests: four hosts in two data centres, and an organisation's API key."""

    def run_scenario(self, scenario, **settings):
        asyncio.run(self._run_scenario(scenario, settings))

    async def _run_scenario(self, scenario, settings):
        self.fleet = fleet = Fleet(**{"log_level": "warning", **settings})
        try:
            await self.start(fleet)
            await scenario()
        except BaseException:
            for name in fleet.hosts:
                print(f"--- {name}\n{fleet.output(f'node-{name}')[-800:]}")
            raise
        finally:
            await fleet.close()

    async def start(self, fleet):
        fleet.start_log()
        await fleet.wait_for_log()
        path = fleet._directory / "payments.yaml"
        path.write_text(DOCUMENT)
        await fleet.apply(str(path))
        await fleet.apply("examples/tracker.yaml")
        for name in (*TRACKERS, *PAYERS):
            fleet.add_host(name, name[:-1])
        for name in fleet.hosts:
            fleet.start_node(name)
        for name in TRACKERS:
            fleet.start_target(name, "tracker", "--call", "GET /payments/balance")
        for name in PAYERS:
            fleet.start_target(name, "payments", "--work-ms", "2")
        await fleet.wait_until_settled({"tracker": 2, "payments": 2})
        self.key_id, self.key = await fleet.give_key("remenar-01")
        await self.wait_for_status(self.key)

    async def wait_for_status(self, key, status=200):
        async def all_match():
            answers = [await self.fleet.call(h, "/payments/balance", key) for h in self.fleet.hosts]
            return all(answer.status == status for answer in answers)

        await self.fleet.wait_until(f"every host answers {status}", all_match)

    async def run_counts(self):
        total = Counter()
        for host in PAYERS:
            total.update((await self.fleet.target_counters(host))["ran"])
        return total

    def deposit(self, host, key, order, **kwargs):
        headers = {"Idempotency-Key": key, "X-Order": order}
        return self.fleet.call(
            host, "/payments/deposit", self.key, method="POST", headers=headers, body=b"5", **kwargs
        )


class KeyTest(FleetCase):
    """Withdrawn and stale API keys, and headers that callers must not set."""

    def test_withdrawn_key_stops_on_an_open_connection(self):
        async def scenario():
            key = str(uuid6.uuid7())
            self.assertEqual(200, (await self.deposit("sofia-1a", key, "order")).status)
            code, _, err = await self.fleet.run_command(
                "key", "withdraw", self.key_id, "--log", self.fleet.log_url
            )
            self.assertEqual(0, code, err)
            await self.wait_for_status(self.key, 401)
            for host in self.fleet.hosts:
                again = await self.deposit(host, key, "order")
                self.assertEqual((401, "unknown"), (again.status, again.outcome))
                fresh = await self.fleet.call(host, "/payments/balance", self.key)
                self.assertEqual("not-run", fresh.outcome)

        self.run_scenario(scenario)

    def test_withdrawn_directly_while_the_log_is_down(self):
        async def scenario():
            await self.fleet.set_log_faults(down=True)
            node = f"http://{self.fleet.hosts['sofia-1a'].egress}"
            code, _, _ = await self.fleet.run_command(
                "key", "withdraw", self.key_id, "--log", self.fleet.log_url, "--node", node
            )
            self.assertEqual(5, code)
            await self.wait_for_status(self.key, 401)

        self.run_scenario(scenario)

    def test_forged_headers_have_no_effect(self):
        async def scenario():
            forged = {
                "Beryldrum-Organisation": "remenar-02",
                "Beryldrum-Context": "0" * 32,
                "Beryldrum-Importance": "critical",
            }
            for host in self.fleet.hosts:
                answer = await self.fleet.call(host, "/payments/balance", self.key, headers=forged)
                self.assertEqual(200, answer.status)
                closed = await self.fleet.call(host, "/payments/audit", self.key, headers=forged)
                self.assertEqual((403, "not-run"), (closed.status, closed.outcome))
                none = await self.fleet.send_request(
                    f"http://{self.fleet.hosts[host].callers}/payments/balance", headers=forged
                )
                self.assertEqual((401, "not-run"), (none.status, none.outcome))
            for host in PAYERS:
                seen = await self.fleet.target_counters(host)
                self.assertEqual(0, seen["keys_seen"])
                self.assertEqual({"remenar-01"}, set(seen["organisations"]))

        self.run_scenario(scenario)

    def test_silence_beyond_the_bound_stops_keys(self):
        async def scenario():
            await self.fleet.set_log_faults(silent=True)
            for host in (*TRACKERS[1:], *PAYERS):
                self.fleet.send_signal(f"node-{host}", signal.SIGSTOP)

            async def keys_stale():
                answer = await self.fleet.call("sofia-1a", "/payments/balance", self.key)
                return answer.status == 503 and b"keys-stale" in answer.body

            await self.fleet.wait_until("keys are stale", keys_stale, 40.0)

        self.run_scenario(scenario, key_silence_s=5)


class SettledTest(FleetCase):
    """The other tests begin once keys have homes that do not move any more."""

    async def start(self, fleet):
        start_node, wait = fleet.start_node, fleet.wait_until_settled

        async def wait_until_settled(services):
            # The other node of the service has claimed all seats by then.
            await asyncio.sleep(4.0)
            start_node("sofia-1b")
            await wait(services)

        fleet.start_node = lambda name: None if name == "sofia-1b" else start_node(name)
        fleet.wait_until_settled = wait_until_settled
        await super().start(fleet)

    def test_a_test_begins_while_seats_move(self):
        async def scenario():
            states = [await self.fleet.status(host) for host in PAYERS]
            self.assertEqual([6, 6], [len(state["seats"]) for state in states])
            self.assertEqual([0, 0], [state["seats_settling"] for state in states])

        self.run_scenario(scenario)


class OnceTest(FleetCase):
    """Non-idempotent requests run at most once."""

    async def start_deposits(self, host):
        """Start twelve deposits; returns their keys and tasks once each target runs some."""
        for payer in PAYERS:
            await self.fleet.set_target_faults(payer, work_ms=1_000)
        keys = [str(uuid6.uuid7()) for _ in range(12)]
        tasks = [
            asyncio.create_task(self.deposit(host, key, f"order-{n}")) for n, key in enumerate(keys)
        ]

        async def both_run():
            seen = [await self.fleet.target_counters(payer) for payer in PAYERS]
            return all(counters["ran"] for counters in seen)

        await self.fleet.wait_until("each target runs deposits", both_run)
        return keys, tasks

    def test_repeat_after_the_entry_was_killed(self):
        async def scenario():
            keys, first = await self.start_deposits("sofia-1a")
            self.fleet.send_signal("node-sofia-1a", signal.SIGKILL)
            lost = await asyncio.gather(*first)
            self.assertEqual([], [(answer.status, answer.body) for answer in lost if answer.status])
            again = await asyncio.gather(
                *(self.deposit("sofia-2a", key, f"order-{n}") for n, key in enumerate(keys))
            )
            self.assertEqual({200}, {answer.status for answer in again})
            self.assertEqual({1}, set((await self.run_counts()).values()))

        self.run_scenario(scenario)

    def test_home_killed_gives_unknown_and_never_a_second_run(self):
        async def scenario():
            keys, first = await self.start_deposits("sofia-2a")
            self.fleet.send_signal("node-sofia-1b", signal.SIGKILL)
            outcomes = Counter(answer.outcome for answer in await asyncio.gather(*first))
            self.assertEqual({"answered", "unknown"}, set(outcomes))
            self.fleet.start_node("sofia-1b")
            await self.fleet.wait_until_settled({"tracker": 2, "payments": 2})

            async def home_reachable():
                answers = [
                    await self.deposit("sofia-2a", key, f"order-{number}")
                    for number, key in enumerate(keys)
                ]
                self.assertLessEqual({a.outcome for a in answers}, {"answered", "unknown"})
                return not any(b"home-unreachable" in answer.body for answer in answers)

            await self.fleet.wait_until("the home is reachable", home_reachable, 40.0)
            self.assertEqual({1}, set((await self.run_counts()).values()))

        self.run_scenario(scenario)

    def test_answer_cut_in_mid_body_is_not_whole_nor_run_again(self):
        async def scenario():
            for host in PAYERS:
                await self.fleet.set_target_faults(host, cut=1)
            cut = [
                await self.fleet.call(
                    "sofia-1a",
                    "/payments/deposit",
                    self.key,
                    method="POST",
                    headers={"X-Order": f"o{n}"},
                )
                for n in range(6)
            ]
            outcomes = Counter(answer.outcome for answer in cut)
            self.assertGreaterEqual(outcomes["unknown"], 1)
            self.assertEqual({1}, set((await self.run_counts()).values()))
            self.assertEqual(6, len(await self.run_counts()))

        self.run_scenario(scenario)

    def test_late_answers_reach_nobody_else(self):
        async def scenario():
            for host in PAYERS:
                await self.fleet.set_target_faults(host, work_ms=600)
            late = [
                asyncio.create_task(
                    self.fleet.call(
                        "sofia-1a",
                        "/payments/balance",
                        self.key,
                        headers={"Beryldrum-Timeout-Ms": "300"},
                    )
                )
                for _ in range(6)
            ]
            results = await asyncio.gather(*late)
            self.assertNotIn("answered", {answer.outcome for answer in results})
            for host in PAYERS:
                await self.fleet.set_target_faults(host, work_ms=2)
            for number in range(40):
                order = f"order-{number}"
                answer = await self.fleet.call(
                    "sofia-1a", "/payments/balance", self.key, headers={"X-Order": order}
                )
                if answer.status == 200:
                    self.assertEqual(order, json.loads(answer.body)["order"])

        self.run_scenario(scenario)


class CancelTest(FleetCase):
    """Deadlines and cancellation reach nested calls; a run is cancelled only if nobody waits."""

    async def cancelled_runs(self):
        return sum([(await self.fleet.target_counters(host))["cancelled"] for host in PAYERS])

    def test_a_caller_that_leaves_cancels_its_run(self):
        async def scenario():
            for host in PAYERS:
                await self.fleet.set_target_faults(host, work_ms=300_000)
            for host in ("sofia-1a", "sofia-1b"):
                gone = await self.fleet.call(host, "/payments/history", self.key, timeout_s=0.5)
                self.assertEqual(0, gone.status)

            async def both_cancelled():
                return await self.cancelled_runs() == 2

            await self.fleet.wait_until("the runs are cancelled", both_cancelled)

        self.run_scenario(scenario)

    def test_a_run_with_a_key_goes_on(self):
        async def scenario():
            for host in PAYERS:
                await self.fleet.set_target_faults(host, work_ms=1_500)
            key = str(uuid6.uuid7())
            gone = await self.deposit("sofia-1a", key, "order", timeout_s=0.5)
            self.assertEqual(0, gone.status)
            again = await self.deposit("sofia-2a", key, "order")
            self.assertEqual(200, again.status)
            self.assertEqual(0, await self.cancelled_runs())
            self.assertEqual({"order": 1}, dict(await self.run_counts()))

        self.run_scenario(scenario)

    def test_the_deadline_is_carried_down(self):
        async def scenario():
            for host in PAYERS:
                await self.fleet.set_target_faults(host, work_ms=20_000)
            answer = await self.fleet.call(
                "sofia-2b", "/tracker/track", self.key, headers={"Beryldrum-Timeout-Ms": "600"}
            )
            self.assertEqual("unknown", answer.outcome)

            async def run_cancelled():
                return await self.cancelled_runs() >= 1

            await self.fleet.wait_until("the run of the nested call is cancelled", run_cancelled)
            left = [(await self.fleet.target_counters(host))["timeouts_ms"] for host in PAYERS]
            deep = [value for values in left for value in values][-1]
            self.assertLess(deep, 600)

        self.run_scenario(scenario)


class TraceTest(FleetCase):
    """Log lines and status for operators, without secrets."""

    def test_decisions_are_logged_and_keys_are_not(self):
        async def scenario():
            await self.fleet.call("sofia-1a", "/tracker/track", self.key)
            await self.deposit("sofia-1a", str(uuid6.uuid7()), "order")

            async def decisions_logged():
                lines = self.fleet.output("node-sofia-1a").splitlines()
                seen = [json.loads(line) for line in lines]
                what = {line["what"] for line in seen if line["event"] == "decision"}
                return {"route", "home", "claim", "advertise"} <= what

            await self.fleet.wait_until("the decisions are logged", decisions_logged)
            for host in self.fleet.hosts:
                self.assertNotIn(self.key, self.fleet.output(f"node-{host}"))

        self.run_scenario(scenario, log_level="info")

    def test_status_of_a_node(self):
        async def scenario():
            url = f"http://{self.fleet.hosts['sofia-1b'].egress}"
            code, out, err = await self.fleet.run_command("status", "--node", url)
            self.assertEqual(0, code, err)
            for word in ("gate  payments", "seats  payments/", "member  ", "log up"):
                self.assertIn(word, out)

        self.run_scenario(scenario)


class ConfigurationTest(FleetCase):
    """Outages of the log, and operators who publish at the same time."""

    def test_operators_race(self):
        async def scenario():
            path = str(self.fleet._directory / "payments.yaml")
            base = json.loads(
                (
                    await self.fleet.run_command(
                        "show", "payments", "--log", self.fleet.log_url, "--json"
                    )
                )[1]
            )["version"]
            await self.fleet.set_log_faults(delay_s=0.5, lose_answers=2, double=1)
            results = await asyncio.gather(
                *(
                    self.fleet.run_command(
                        "apply", path, "--log", self.fleet.log_url, "--base", str(base)
                    )
                    for _ in range(3)
                )
            )
            self.assertEqual([0, 3, 3], sorted(code for code, _, _ in results))

            async def states_equal():
                states = [await self.fleet.status(host) for host in self.fleet.hosts]
                return len({state["state_digest"] for state in states}) == 1

            await self.fleet.wait_until("all nodes have the same state", states_equal)

        self.run_scenario(scenario)

    def test_serves_through_an_outage_of_the_log(self):
        async def scenario():
            await self.fleet.set_log_faults(silent=True)
            for host in self.fleet.hosts:
                answer = await self.fleet.call(host, "/tracker/track", self.key)
                self.assertEqual(200, answer.status)
                answer = await self.deposit(host, str(uuid6.uuid7()), f"order-{host}")
                self.assertEqual(200, answer.status)
            await self.fleet.set_log_faults()
            _, second = await self.fleet.give_key("remenar-01")
            await self.wait_for_status(second)

        self.run_scenario(scenario)

    def test_a_replaced_node_learns_from_peers_while_the_log_is_away(self):
        async def scenario():
            await self.fleet.set_log_faults(silent=True)
            self.fleet.send_signal("node-sofia-1a", signal.SIGKILL)
            await self.fleet.wait_exit("node-sofia-1a")
            self.fleet.start_node("sofia-1a")

            async def answers_requests():
                answer = await self.fleet.call("sofia-1a", "/payments/balance", self.key)
                return answer.status == 200

            await self.fleet.wait_until(
                "the replaced node answers requests", answers_requests, 40.0
            )

        self.run_scenario(scenario)

    def test_a_node_cut_off_from_the_log_learns_from_peers(self):
        async def scenario():
            self.fleet.send_signal("node-sofia-1a", signal.SIGTERM)
            self.assertEqual(0, await self.fleet.wait_exit("node-sofia-1a"))
            self.fleet.start_node("sofia-1a", log_url="http://127.0.0.1:1")
            _, second = await self.fleet.give_key("remenar-01")
            await self.wait_for_status(second)

        self.run_scenario(scenario)


class RateTest(FleetCase):
    """Rate and burst of an organisation, across all hosts."""

    def test_never_more_than_rate_and_burst(self):
        async def scenario():
            _, key = await self.fleet.give_key("remenar-02")

            async def key_known():
                answers = [await self.fleet.call(h, "/payments/none", key) for h in TRACKERS]
                return all(answer.status == 404 for answer in answers)

            await self.fleet.wait_until("the key is known", key_known)
            loop = asyncio.get_running_loop()
            since = loop.time()
            admitted = 0

            async def send_requests(host):
                nonlocal admitted
                while loop.time() - since < 3.0:
                    answer = await self.fleet.call(host, "/payments/balance", key)
                    admitted += answer.status == 200
                    if answer.status == 429:
                        self.assertEqual("not-run", answer.outcome)

            await asyncio.gather(
                *(send_requests(host) for host in self.fleet.hosts for _ in range(3))
            )
            elapsed = loop.time() - since
            self.assertLessEqual(admitted, BURST + RATE_PER_S * elapsed + 1)
            self.assertGreaterEqual(admitted, BURST / 2)

        self.run_scenario(scenario)


class StopTest(FleetCase):
    """Leaving targets, planned stops, and nodes that are frozen or killed."""

    def test_leaving_target_gets_no_new_work(self):
        async def scenario():
            target = self.fleet.hosts["sofia-1b"].target
            code, _, err = await self.fleet.run_command(
                "drain", "payments", target, "--log", self.fleet.log_url
            )
            self.assertEqual(0, code, err)

            async def target_idle():
                before = (await self.fleet.target_counters("sofia-1b"))["total"]
                for host in self.fleet.hosts:
                    answer = await self.fleet.call(host, "/payments/balance", self.key)
                    self.assertEqual(200, answer.status)
                return (await self.fleet.target_counters("sofia-1b"))["total"] == before

            await self.fleet.wait_until("the target gets no new requests", target_idle)
            before = (await self.fleet.target_counters("sofia-1b"))["total"]
            for number in range(30):
                key = str(uuid6.uuid7())
                answer = await self.deposit("sofia-2a", key, f"order-{number}")
                # In case of a failure, the body names the problem type.
                self.assertEqual(200, answer.status, answer.body)
            self.assertEqual(before, (await self.fleet.target_counters("sofia-1b"))["total"])

        self.run_scenario(scenario)

    def test_planned_stop_cuts_nothing(self):
        async def scenario():
            for host in PAYERS:
                await self.fleet.set_target_faults(host, work_ms=3_000)
            calls = [
                asyncio.create_task(self.fleet.call(host, "/payments/history", self.key))
                for host in ("sofia-1a", "sofia-1b", "sofia-2a")
                for _ in range(5)
            ]
            await asyncio.sleep(0.5)
            self.fleet.send_signal("node-sofia-1b", signal.SIGTERM)
            self.fleet.send_signal("node-sofia-1b", signal.SIGTERM)
            answers = await asyncio.gather(*calls)
            self.assertEqual({200}, {answer.status for answer in answers})
            self.assertEqual(0, await self.fleet.wait_exit("node-sofia-1b"))
            for host in TRACKERS:
                answer = await self.fleet.call(host, "/payments/balance", self.key)
                self.assertEqual(200, answer.status)

            async def seats_moved():
                state = await self.fleet.status("sofia-2b")
                return sum(1 for seat in state["seats"] if seat.startswith("payments/")) == 12

            await self.fleet.wait_until("the other target's node holds all seats", seats_moved)

        self.run_scenario(scenario)

    def test_frozen_node_is_left_alone(self):
        async def scenario():
            self.fleet.send_signal("node-sofia-1b", signal.SIGSTOP)

            async def avoided():
                answers = [
                    await self.fleet.call(
                        "sofia-1a",
                        "/payments/balance",
                        self.key,
                        headers={"Beryldrum-Timeout-Ms": "700"},
                    )
                    for _ in range(10)
                ]
                self.assertLessEqual({a.outcome for a in answers}, {"answered", "unknown"})
                return all(answer.status == 200 for answer in answers)

            await self.fleet.wait_until("all requests are answered by other targets", avoided)

        self.run_scenario(scenario)

    def test_killed_target_side_is_routed_around(self):
        async def scenario():
            self.fleet.send_signal("node-sofia-1b", signal.SIGKILL)
            self.fleet.send_signal("target-sofia-1b", signal.SIGKILL)
            for _ in range(20):
                answer = await self.fleet.call("sofia-1a", "/payments/balance", self.key)
                self.assertEqual(200, answer.status)

        self.run_scenario(scenario)
