"""Entries of a declaration that can never match, each beside its clean twin."""

import json
from typing import Any

import pytest
from returns.result import Success

from examples import hanbit, timberline
from fuchsiaroute.declaration import Severity, encode, find_ineffective, parse


def declared() -> dict[str, Any]:
    return json.loads(encode(timberline.declare()))


def places(raw: dict[str, Any]) -> list[str]:
    match parse(json.dumps(raw).encode()):
        case Success(configuration):
            found = find_ineffective(configuration)
            assert all(item.severity is Severity.WARNING for item in found)
            return [item.place for item in found]
    raise AssertionError("the declaration has errors")


def add_unused_model(raw: dict[str, Any]) -> None:
    version = {"id": "lone-1", "cost_per_1000_tokens": 1, "prior_quality": 0.9}
    raw["models"].append({"id": "lone", "versions": [version]})
    raw["endpoints"][0]["versions"].append("lone-1")


def add_unused_service(raw: dict[str, Any]) -> None:
    call = {"path": "/x", "is_idempotent": True}
    raw["services"].append({"id": "lone", "calls": [call]})


def add_unused_product(raw: dict[str, Any]) -> None:
    raw["products"].append(
        {"id": "lone", "classes": [{"id": "c", "quality_target": 0.1}]}
    )


def deny_a_version_of_no_permitted_model(raw: dict[str, Any]) -> None:
    add_unused_model(raw)
    raw["organisations"][0]["denied_versions"] = ["lone-1"]


def ask_for_too_much_quality(raw: dict[str, Any]) -> None:
    for product in raw["products"]:
        for item in product["classes"]:
            item["quality_target"] = 1.0


def limit_cost_below_one_answer(raw: dict[str, Any]) -> None:
    for model in raw["models"]:
        for version in model["versions"]:
            version["cost_per_1000_tokens"] = 1_000_000
    raw["organisations"][0]["daily_cost_limit"] = 1


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (add_unused_model, "models["),
        (add_unused_service, "services["),
        (add_unused_product, "products["),
        (deny_a_version_of_no_permitted_model, "organisations[0].denied_versions[0]"),
        (ask_for_too_much_quality, "organisations[0].permitted_models"),
        (limit_cost_below_one_answer, "organisations[0].daily_cost_limit"),
    ],
)
def test_ineffective_entries_are_found(change: Any, expected: str) -> None:
    raw = declared()
    assert places(raw) == []
    change(raw)
    assert any(place.startswith(expected) for place in places(raw))


@pytest.mark.parametrize("module", [hanbit, timberline])
def test_examples_are_clean(module: Any) -> None:
    assert find_ineffective(module.declare()) == ()
