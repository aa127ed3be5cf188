"""Tests of the routers and of their estimators."""

from __future__ import annotations

from collections import Counter
import unittest

from azurewick.models import BackendServer
from azurewick.models import LoadReport
from azurewick.models import Offer
from azurewick.models import PoolKind
from azurewick.routing.affinity import prefix_hashes
from azurewick.routing.baselines import LeastOutstandingRouter
from azurewick.routing.baselines import RoundRobinRouter
from azurewick.routing.baselines import TwoChoicesRouter
from azurewick.routing.estimator import OutputLengthPredictor
from azurewick.routing.estimator import ServerRateEstimator
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus
from azurewick.routing.models import Router
from azurewick.routing.selector import LeastCostRouter


def build_server(name: str, region: str = "r") -> BackendServer:
    return BackendServer(
        name=name,
        pool="p",
        kind=PoolKind.MODEL,
        address="127.0.0.1:1",
        control_address="127.0.0.1:2",
        failure_domain="d",
        region=region,
        version="v1",
    )


def build_offer(name: str, prefix: tuple[str, ...] = ()) -> Offer:
    return Offer(
        request_id=name,
        customer="c",
        request_class="quick",
        tier=0,
        method="POST",
        path="/",
        prompt_tokens=1000,
        expected_output_tokens=100,
        prefix_hashes=prefix,
    )


def build_report(name: str, **fields: object) -> LoadReport:
    values: dict[str, object] = {
        "incarnation": "i",
        "version": "v1",
        "batch_limit": 16,
        "prefill_tokens_per_s": 5000.0,
        "decode_tokens_per_s": 500.0,
    }
    values.update(fields)
    return LoadReport(backend_server=name, **values)  # type: ignore


def choose_and_send(
    router: Router, count: int, now_s: float, **kw: object
) -> Counter:
    chosen: Counter = Counter()
    for index in range(count):
        offer = build_offer(f"{now_s}-{index}", **kw)  # type: ignore
        name = router.choose(
            offer, excluded=frozenset(), version=None, now_s=now_s
        )
        router.record_sent(offer, name, now_s)
        chosen[name] += 1
    return chosen


class LeastCostRouterTest(unittest.TestCase):
    """Servers that the least-cost router chooses."""

    def setUp(self) -> None:
        self.router = LeastCostRouter(1, "r", "d")
        self.names = [f"s{index}" for index in range(4)]
        self.router.update_servers([build_server(n) for n in self.names])
        for name in self.names:
            self.router.record_report(build_report(name), 0.0)

    def test_reported_load(self) -> None:
        """Guards against traffic to loaded, draining or slow servers."""
        cases: dict[str, dict[str, object]] = {
            "queued work": {"queued_work_s": 30.0, "running": 16},
            "draining": {"draining": True},
            "straggler": {"decode_tokens_per_s": 50.0},
        }
        for name, fields in cases.items():
            with self.subTest(name):
                self.setUp()
                self.router.record_report(build_report("s0", **fields), 0.1)
                self.assertEqual(
                    0, choose_and_send(self.router, 20, 0.2)["s0"]
                )

    def test_offers_since_the_report_count(self) -> None:
        """Guards against overloading the server with the best report.

        The router must add the offers that it has sent since the report.
        """
        for name in self.names[1:]:
            self.router.record_report(
                build_report(name, running=16, queued_work_s=0.5), 0.0
            )
        chosen = choose_and_send(self.router, 60, 1.0)
        self.assertLess(chosen["s0"], 40)
        self.assertEqual(4, len(chosen))

    def test_overdue_server_is_avoided_until_its_offers_end(self) -> None:
        """Guards against a hanging server that keeps receiving requests.

        Its first tokens are overdue and it sends no load reports; the router
        uses it again once its outstanding offers have ended.
        """
        choose_and_send(self.router, 8, 0.0)
        for name in self.names[1:]:
            self.router.record_report(build_report(name), 3.0)
        self.assertEqual(0, choose_and_send(self.router, 20, 5.0)["s0"])
        for index in range(8):
            offer = build_offer(f"0.0-{index}")
            result = OfferResult(
                status=OfferStatus.CANCELLED,
                first_token_s=None,
                duration_s=5.0,
                prompt_tokens=0,
                cached_tokens=0,
                output_tokens=0,
            )
            self.router.record_result(offer, "s0", result, 6.0)
        self.assertGreater(choose_and_send(self.router, 20, 7.0)["s0"], 0)

    def test_prefix_affinity(self) -> None:
        """Guards against recomputing a cached prefix on another server.

        Two gateways must choose the same server for a prefix, unless that
        server is overloaded.
        """
        other = LeastCostRouter(2, "r", "d")
        other.update_servers([build_server(n) for n in self.names])
        contexts = [prefix_hashes(bytes([i]) * 4000) for i in range(4)]
        for router in (self.router, other):
            for name in self.names:
                router.record_report(build_report(name), 0.0)
            # The router first learns that the class shares no prefix.
            for prefix in contexts:
                choose_and_send(router, 1, 0.0, prefix=prefix)
        for prefix in contexts:
            chosen = choose_and_send(self.router, 3, 1.0, prefix=prefix)
            chosen += choose_and_send(other, 3, 1.0, prefix=prefix)
            self.assertEqual(1, len(chosen))
        (name,) = chosen
        self.router.record_report(
            build_report(name, queued_work_s=10.0, running=16), 1.1
        )
        self.assertEqual(
            0, choose_and_send(self.router, 5, 1.2, prefix=prefix)[name]
        )

    def test_remote_region(self) -> None:
        """Guards against needless use of the billed link between regions."""
        self.router.update_servers(
            [build_server("s0"), build_server("s1", "far")]
        )
        self.assertEqual({"s0": 3}, choose_and_send(self.router, 3, 0.0))
        self.router.record_report(
            build_report("s0", queued_work_s=9.0, running=16), 0.1
        )
        self.assertEqual({"s1": 3}, choose_and_send(self.router, 3, 0.2))

    def test_exclusion_and_version(self) -> None:
        """Guards against offers to excluded servers or of another version.

        Servers that refused a request are excluded from its next offers.
        """
        for excluded, version, expected in (
            (frozenset(self.names[1:]), None, "s0"),
            (frozenset(self.names), None, None),
            (frozenset(), "v2", None),
        ):
            with self.subTest(excluded=excluded, version=version):
                name = self.router.choose(
                    build_offer("x"),
                    excluded=excluded,
                    version=version,
                    now_s=0.0,
                )
                self.assertEqual(expected, name)


class BaselineTest(unittest.TestCase):
    """Distribution of offers by the baseline routers."""

    def test_load_is_balanced(self) -> None:
        """Guards against a baseline that distributes offers unevenly.

        Benchmarks would then compare with too weak a router.
        """
        for router in (
            RoundRobinRouter(1),
            LeastOutstandingRouter(1),
            TwoChoicesRouter(1),
        ):
            with self.subTest(type(router).__name__):
                router.update_servers([build_server(n) for n in "abcd"])
                chosen = choose_and_send(router, 40, 0.0)
                self.assertEqual(4, len(chosen))
                self.assertLessEqual(max(chosen.values()), 14)


class EstimatorTest(unittest.TestCase):
    """Estimators of output lengths and of engine rates."""

    def test_predicted_output_length(self) -> None:
        """Guards against one predicted length for all request classes."""
        predictor = OutputLengthPredictor()
        self.assertEqual(128, predictor.predict("c", "quick"))
        for _ in range(50):
            predictor.record("c", "quick", 20)
            predictor.record("c", "draft", 2000)
        self.assertLess(predictor.predict("c", "quick"), 40)
        self.assertGreater(predictor.predict("c", "draft"), 1800)
        self.assertLess(predictor.predict("new", "quick"), 40)

    def test_decode_rate(self) -> None:
        """Guards against a decode rate that lags seconds behind a slowdown."""
        estimator = ServerRateEstimator()
        now_s = 0.0
        for index in range(400):
            running = 4 + index % 16
            step_s = 0.02 + 0.001 * running
            now_s += step_s
            estimator.record_decode(running, step_s, now_s)
        self.assertAlmostEqual(0.052, estimator.inter_token_s(32), delta=0.01)
        for _ in range(8):
            now_s += 0.3
            estimator.record_decode(10, 0.3, now_s)
        self.assertGreater(estimator.inter_token_s(10), 0.2)
