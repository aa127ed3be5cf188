"""Tests of the lookup of routes."""

from __future__ import annotations

from unittest import TestCase

from azurewick.entry.routes import RouteTable
from tests.entry.builders import build_route


class RouteTableTest(TestCase):
    """Guards against requests that are assigned to another route.

    Prefixes of routes overlap, and paths may lack the final slash.
    """

    def setUp(self):
        self.table = RouteTable(
            [
                build_route(name="a", path_prefix="/a/"),
                build_route(name="ab", path_prefix="/a/b/"),
                build_route(name="other", host="b.example", path_prefix="/"),
            ]
        )

    def find(self, host, path):
        route = self.table.find(host, path)
        return None if route is None else route.name

    def test_longest_prefix_wins(self):
        cases = {
            ("shop.example", "/a/x"): "a",
            ("shop.example", "/a/b/x"): "ab",
            ("shop.example", "/a/b/"): "ab",
            ("shop.example", "/a/b"): "a",
            ("shop.example", "/a/bb/x"): "a",
            ("shop.example", "/a"): None,
            ("shop.example", "/"): None,
            ("shop.example", "x"): None,
            ("shop.example:80", "/a/"): "a",
            ("b.example", "/a/"): "other",
            ("c.example", "/a/"): None,
            ("", "/a/"): None,
        }
        for (host, path), expected in cases.items():
            with self.subTest(host=host, path=path):
                self.assertEqual(expected, self.find(host, path))

    def test_lookup_is_exact_among_many_routes(self):
        table = RouteTable(
            build_route(name=str(index), path_prefix=f"/r{index}/")
            for index in range(5000)
        )
        self.assertEqual(5000, len(table))
        self.assertEqual("4321", table.find("shop.example", "/r4321/x").name)
