import copy
import json

import pytest
from hypothesis import given, settings, strategies
from returns.result import Success

from examples import hanbit, timberline
from fuchsiaroute.configuration import VersionState
from fuchsiaroute.declaration import (
    DeclarationError,
    Deployment,
    Severity,
    decode,
    encode,
    parse,
    request_class,
    validate,
    version,
)
from fuchsiaroute.ids import FailureDomainId, VersionId

ROLLOUT = {
    "id": "grow",
    "model": "sapling",
    "base": "sapling-1",
    "target": "sapling-2",
    "stages": [0.1, 1.0],
    "stage": 0,
    "state": "running",
}
NEW_VERSION = {"id": "sapling-2", "cost_per_1000_tokens": 1, "prior_quality": 0.9}


def declared_json():
    raw = json.loads(encode(timberline.declare()))
    raw["models"][0]["versions"].append(dict(NEW_VERSION))
    raw["endpoints"][0]["versions"].append("sapling-2")
    raw["rollouts"].append(dict(ROLLOUT))
    return raw


def faults_with(path, value):
    raw = declared_json()
    *parents, last = path
    target = raw
    for step in parents:
        target = target[step]
    target[last] = value
    return parse(json.dumps(raw).encode())


@pytest.mark.parametrize("module", [hanbit, timberline])
def test_example_is_valid_and_its_encoding_is_canonical(module):
    configuration = module.declare()
    assert validate(configuration) == ()
    assert encode(decode(encode(configuration))) == encode(module.declare())
    assert parse(encode(configuration)) == Success(configuration)


def test_unmodified_declaration_is_valid():
    assert validate(parse(json.dumps(declared_json()).encode()).unwrap()) == ()


@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        (["deployment"], "", "deployment"),
        (["failure_domains", 1, "id"], "lakes-a", "failure_domains[1].id"),
        (["products", 0, "id"], "a b", "products[0].id"),
        (["products", 0, "classes"], [], "products[0].classes"),
        (["products", 0, "priority"], 10, "products[0].priority"),
        (
            ["products", 0, "classes", 1, "quality_target"],
            1.01,
            "products[0].classes[1].quality_target",
        ),
        (
            ["products", 0, "classes", 1, "expected_tokens"],
            0,
            "products[0].classes[1].expected_tokens",
        ),
        (
            ["products", 0, "classes", 1, "id"],
            "stand-lookup",
            "products[0].classes[1].id",
        ),
        (["organisations", 3, "id"], "county-00", "organisations[3].id"),
        (["organisations", 3, "product"], "x", "organisations[3].product"),
        (
            ["organisations", 3, "permitted_models", 0],
            "x",
            "organisations[3].permitted_models[0]",
        ),
        (
            ["organisations", 3, "permitted_services"],
            ["permit-app", "x"],
            "organisations[3].permitted_services[1]",
        ),
        (
            ["organisations", 3, "denied_versions"],
            ["x"],
            "organisations[3].denied_versions[0]",
        ),
        (["organisations", 3, "key_digest"], "AB" * 32, "organisations[3].key_digest"),
        (
            ["organisations", 3, "key_digest"],
            timberline.declare().organisations[0].key_digest,
            "organisations[3].key_digest",
        ),
        (["organisations", 3, "weight"], 0, "organisations[3].weight"),
        (
            ["organisations", 3, "daily_cost_limit"],
            -1,
            "organisations[3].daily_cost_limit",
        ),
        (["models", 1, "id"], "sapling", "models[1].id"),
        (["models", 1, "id"], "auto", "models[1].id"),
        (["models", 1, "versions", 0, "id"], "sapling-1", "models[1].versions[0].id"),
        (["models", 1, "versions"], [], "models[1].versions"),
        (
            ["models", 1, "versions", 0, "prior_quality"],
            -0.1,
            "models[1].versions[0].prior_quality",
        ),
        (
            ["models", 1, "versions", 0, "cost_per_1000_tokens"],
            -1,
            "models[1].versions[0].cost_per_1000_tokens",
        ),
        (["services", 0, "id"], "sapling", "services[0].id"),
        (["services", 0, "calls"], [], "services[0].calls"),
        (["services", 0, "calls", 0, "path"], "x y", "services[0].calls[0].path"),
        (
            ["services", 0, "calls", 1, "path"],
            "/permits/search",
            "services[0].calls[1].path",
        ),
        (["services", 0, "cost_per_call"], -1, "services[0].cost_per_call"),
        (["endpoints", 1, "id"], "model-pool-0", "endpoints[1].id"),
        (["endpoints", 1, "url"], "http://127.0.0.1:9101", "endpoints[1].url"),
        (["endpoints", 1, "url"], "http://pool.example:1", "endpoints[1].url"),
        (["endpoints", 1, "url"], "http://127.0.0.1", "endpoints[1].url"),
        (["endpoints", 1, "url"], "ftp://127.0.0.1:1", "endpoints[1].url"),
        (["endpoints", 1, "url"], "http://127.0.0.1:1/x", "endpoints[1].url"),
        (["endpoints", 1, "failure_domain"], "x", "endpoints[1].failure_domain"),
        (["endpoints", 1, "versions"], ["x"], "endpoints[1].versions[0]"),
        (["endpoints", 1, "versions"], [], "endpoints[1]"),
        (["endpoints", 1, "services"], ["permit-app"], "endpoints[1]"),
        (["endpoints", 6, "services"], ["x"], "endpoints[6].services[0]"),
        (["endpoints", 1, "capacity"], 0, "endpoints[1].capacity"),
        (["endpoints", 1, "cold_capacity"], 33, "endpoints[1].cold_capacity"),
        (["endpoints", 1, "warm_up"], -1, "endpoints[1].warm_up"),
        (["rollouts", 0, "model"], "x", "rollouts[0].model"),
        (["rollouts", 0, "base"], "timber-4", "rollouts[0].base"),
        (["rollouts", 0, "target"], "timber-4", "rollouts[0].target"),
        (["rollouts", 0, "target"], "sapling-1", "rollouts[0].target"),
        (["rollouts", 0, "stages"], [], "rollouts[0].stages"),
        (["rollouts", 0, "stages"], [0.5, 0.4], "rollouts[0].stages[1]"),
        (["rollouts", 0, "stages"], [0.5, 1.5], "rollouts[0].stages[1]"),
        (["rollouts", 0, "stage"], 2, "rollouts[0].stage"),
        (["rollouts"], [ROLLOUT, {**ROLLOUT, "id": "b"}], "rollouts[1].model"),
        (["outages"], [{"failure_domain": "x"}], "outages[0].failure_domain"),
        (
            ["outages"],
            [{"failure_domain": "lakes-a"}] * 2,
            "outages[1].failure_domain",
        ),
        (["organisations", 3, "wieght"], 2, "organisations[3].wieght"),
        (["organisations", 3, "weight"], "2", "organisations[3].weight"),
        (["organisations", 3], [], "organisations[3]"),
        (["organisations"], {}, "organisations"),
        (["organisations", 3], {"id": "x"}, "organisations[3].product"),
    ],
)
def test_fault_names_its_place(path, value, place):
    faults = faults_with(path, value).failure()
    assert place in {fault.place for fault in faults}


def test_all_faults_are_reported_together():
    raw = declared_json()
    raw["organisations"][3]["product"] = "x"
    raw["endpoints"][1]["capacity"] = 0
    raw["rollouts"][0]["base"] = "x"
    faults = parse(json.dumps(raw).encode()).failure()
    assert [fault.place for fault in faults] == [
        "organisations[3].product",
        "endpoints[1].capacity",
        "endpoints[1].cold_capacity",
        "rollouts[0].base",
    ]
    structure = copy.deepcopy(raw)
    structure["organisations"][0]["weight"] = "x"
    structure["endpoints"][2]["extra"] = 1
    faults = parse(json.dumps(structure).encode()).failure()
    assert {fault.place for fault in faults} == {
        "organisations[0].weight",
        "endpoints[2].extra",
    }


def test_organisation_without_any_permission_is_an_error():
    raw = declared_json()
    raw["organisations"][3].update(permitted_models=[], permitted_services=[])
    (fault,) = parse(json.dumps(raw).encode()).failure()
    assert fault.place == "organisations[3].permitted_models"


def with_all_versions_withdrawn():
    configuration = timberline.declare()
    for model in configuration.models:
        for item in model.versions:
            configuration = configuration.with_version_state(
                VersionId(item.id), VersionState.WITHDRAWN
            )
    return configuration


def with_all_domains_taken_out():
    raw = declared_json()
    raw["outages"] = [{"failure_domain": f"lakes-{zone}"} for zone in "abc"]
    return parse(json.dumps(raw).encode()).unwrap()


def with_withdrawn_rollout_target():
    configuration = parse(json.dumps(declared_json()).encode()).unwrap()
    return configuration.with_version_state(
        VersionId("sapling-2"), VersionState.WITHDRAWN
    )


@pytest.mark.parametrize(
    ("configuration", "place"),
    [
        (with_all_versions_withdrawn(), "organisations[0].permitted_models"),
        (with_all_domains_taken_out(), "outages"),
        (with_withdrawn_rollout_target(), "rollouts[0].target"),
    ],
)
def test_withdrawal_and_outage_are_accepted_with_a_warning(configuration, place):
    faults = validate(configuration)
    assert {fault.severity for fault in faults} == {Severity.WARNING}
    assert place in {fault.place for fault in faults}
    assert parse(encode(configuration)) == Success(configuration)


@pytest.mark.parametrize("encoded", [b"", b"[]", b"nonsense", b"[" * 5_000])
def test_input_that_is_not_a_configuration_is_a_fault(encoded):
    assert len(parse(encoded).failure()) >= 1


JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers()
    | strategies.floats() | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.sampled_from(list(declared_json())), inner),
    max_leaves=8,
)  # fmt: skip


@settings(derandomize=True, max_examples=150, database=None, deadline=None)
@given(
    key=strategies.sampled_from(list(declared_json())),
    index=strategies.integers(0, 2),
    value=JSON_VALUES,
)
def test_parse_returns_a_result_for_any_json_value(key, index, value):
    raw = declared_json()
    if isinstance(raw[key], list) and len(raw[key]) > index:
        raw[key][index] = value
    else:
        raw[key] = value
    result = parse(json.dumps(raw).encode())
    assert all(fault.message for fault in result.swap().value_or(()))


def test_builder_reports_an_unknown_version():
    deployment = Deployment("small")
    domain = deployment.failure_domain("zone-a", region="here")
    model = deployment.model(
        "owl", versions=[version("owl-1", cost_per_1000_tokens=1, prior_quality=1)]
    )
    product = deployment.product(
        "desk", classes=[request_class("ask", quality_target=0.9, expected_tokens=9)]
    )
    deployment.organisation(
        "firm", product=product, key_digest="0" * 64, permitted_models=[model]
    )
    with pytest.raises(DeclarationError, match="unknown version 'owl-2'"):
        deployment.engine(
            "owl-engine",
            url="http://127.0.0.1:9000",
            failure_domain=domain,
            versions=[VersionId("owl-2")],
            is_fencing_checked=True,
        )
        deployment.build()


def test_builder_reports_the_faults_of_all_declarations():
    deployment = Deployment("small")
    domain = deployment.failure_domain("zone-a", region="here")
    service = deployment.service("forms", calls=[], cost_per_call=3)
    deployment.service_endpoint(
        "forms-0",
        url="http://127.0.0.1:9001",
        failure_domain=domain,
        services=[service],
        capacity=1,
    )
    rollout = deployment.rollout(
        "grow",
        model="owl",
        base=VersionId("owl-1"),
        target=VersionId("owl-2"),
        stages=[0.5],
    )
    deployment.outage(FailureDomainId("zone-b"), reason="power")
    assert rollout == "grow"
    with pytest.raises(DeclarationError) as error:
        deployment.build()
    assert [line.split(":")[0] for line in str(error.value).splitlines()] == [
        "rollouts[0].model",
        "outages[0].failure_domain",
        "services[0].calls",
        "rollouts[0].base",
        "rollouts[0].target",
    ]
