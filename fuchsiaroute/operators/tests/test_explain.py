from dataclasses import replace
from random import Random

import pytest

from examples import timberline
from fuchsiaroute.clock import ManualClock
from fuchsiaroute.configuration import VersionState
from fuchsiaroute.ids import OrganisationId, RequestClass, Revision, VersionId
from fuchsiaroute.operators import ExplanationRequest, explain
from fuchsiaroute.request import Exclusion
from fuchsiaroute.routing import ConfigurationView, VersionRouter
from fuchsiaroute.session import PinSigner

SMALL, MEDIUM, LARGE = timberline.VERSIONS
BASE = timberline.declare()
WITHDRAWN = BASE.with_version_state(VersionId("sapling-1"), VersionState.WITHDRAWN)
WITHOUT_MODELS = replace(
    BASE,
    organisations=tuple(
        replace(organisation, permitted_models=())
        for organisation in BASE.organisations
    ),
)


def explanation_for(configuration, **question):
    view = ConfigurationView(configuration, Revision(7))
    signer = PinSigner(keys=("0123456789abcdef",), clock=ManualClock())
    router = VersionRouter(pins=signer, random=Random(1))
    fields = {"organisation": OrganisationId("county-03"), **question}
    return explain(ExplanationRequest(**fields), view=view, router=router)


@pytest.mark.parametrize(
    ("configuration", "question", "versions", "rules"),
    [
        (
            BASE,
            {"request_class": RequestClass("stand-lookup"), "is_streamed": True},
            (SMALL,),
            {MEDIUM: Exclusion.NOT_PERMITTED, LARGE: Exclusion.COSTLIER},
        ),
        (
            BASE,
            {"request_class": RequestClass("stand-lookup")},
            (SMALL, LARGE),
            {MEDIUM: Exclusion.NOT_PERMITTED},
        ),
        (
            BASE,
            {"request_class": RequestClass("cutting-report")},
            (LARGE,),
            {
                MEDIUM: Exclusion.NOT_PERMITTED,
                SMALL: Exclusion.BELOW_QUALITY_TARGET,
            },
        ),
        (
            WITHDRAWN,
            {"request_class": RequestClass("stand-lookup")},
            (LARGE,),
            {SMALL: Exclusion.WITHDRAWN, MEDIUM: Exclusion.NOT_PERMITTED},
        ),
        (
            BASE,
            {"model": "old-growth"},
            (LARGE,),
            {SMALL: Exclusion.NOT_REQUESTED},
        ),
        (
            BASE,
            {"model": "timber"},
            (),
            {MEDIUM: Exclusion.NOT_PERMITTED, SMALL: Exclusion.NOT_REQUESTED},
        ),
        (
            WITHDRAWN,
            {"model": "sapling"},
            (),
            {SMALL: Exclusion.WITHDRAWN, LARGE: Exclusion.NOT_REQUESTED},
        ),
        (WITHOUT_MODELS, {}, (), {SMALL: Exclusion.NOT_PERMITTED}),
        (BASE, {"organisation": OrganisationId("unknown")}, (), {}),
        (BASE, {"model": "permit-app"}, (), {}),
    ],
)
def test_each_version_has_the_rule_that_excluded_it(
    configuration, question, versions, rules
):
    explanation = explanation_for(configuration, **question)
    found = {item.version: item.exclusion for item in explanation.candidates}
    assert explanation.versions == versions
    assert found.items() >= rules.items()
    assert all(found[version] is Exclusion.NONE for version in versions)


@pytest.mark.parametrize(
    ("question", "is_permitted", "refusal"),
    [
        ({"model": "sapling"}, True, ""),
        ({"model": "permit-app"}, True, ""),
        ({"model": "timber"}, False, "not-permitted"),
        ({"model": "unknown"}, False, "not-permitted"),
        ({"organisation": OrganisationId("unknown")}, False, "not-permitted"),
    ],
)
def test_explanation_contains_the_refusal(question, is_permitted, refusal):
    explanation = explanation_for(BASE, **question)
    assert explanation.is_permitted is is_permitted
    assert explanation.refusal.startswith(refusal)
    assert explanation.revision == 7
