"""Command that explains a routing decision."""

from pathlib import Path
from random import Random

from returns.result import Failure, Success

from fuchsiaroute.cli._connection import (
    EntryOptions,
    report_client_error,
    run_with_client,
)
from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.cli._files import read_declaration
from fuchsiaroute.cli._output import print_errors, print_json, print_table
from fuchsiaroute.clock import SystemClock
from fuchsiaroute.configuration import NO_REVISION, Configuration
from fuchsiaroute.ids import OrganisationId, RequestClass, SessionId
from fuchsiaroute.operators import (
    Explanation,
    ExplanationRequest,
    OperatorClient,
    explain as explain_request,
)
from fuchsiaroute.request import Candidate, Exclusion
from fuchsiaroute.routing import ConfigurationView, VersionRouter
from fuchsiaroute.session import PinSigner

#: A declaration has no live ratings; a fixed seed makes its explanation repeatable.
SEED = 1
#: The router requires a pin signer, although explaining a request verifies no pin.
UNUSED_KEY = "explanations-verify-no-pin"


def explain(
    organisation: str,
    *,
    declaration: Path | None = None,
    options: EntryOptions | None = None,
    request_class: str = "",
    model: str = "auto",
    session: str = "",
    streamed: bool = False,
    json: bool = False,
) -> ExitCode:
    """
    Show how a request would be routed, and the rule that excludes other versions.

    Parameters
    ----------
    organisation
        The organisation that the request comes from.
    declaration
        Use this declaration and its quality estimates instead of asking an entry.
    request_class
        Request class; by default the product's class with the highest quality target.
    model
        Model, version or service by name, or "auto".
    session
        Id of a session that is not pinned to a version yet.
    streamed
        Whether the answer is streamed, which rules out an escalation.
    json
        Print the explanation as JSON.

    """
    question = ExplanationRequest(
        organisation=OrganisationId(organisation),
        request_class=RequestClass(request_class),
        model=model,
        session=SessionId(session),
        is_streamed=streamed,
    )
    if declaration is not None:
        return _explain_declaration(declaration, question, json=json)
    if options is None:
        print_errors(["either --declaration or --entry is needed"])
        return ExitCode.FAULTY_INPUT
    return run_with_client(
        options, lambda client: _explain_on_entry(client, question, json=json)
    )


def _explain_declaration(
    path: Path, question: ExplanationRequest, *, json: bool
) -> ExitCode:
    match read_declaration(path):
        case Failure(faults):
            print_errors(faults)
            return ExitCode.FAULTY_INPUT
        case Success(configuration):
            return _report(_explain_locally(configuration, question), json=json)
    raise AssertionError("a Result is a Success or a Failure")


def _explain_locally(
    configuration: Configuration, question: ExplanationRequest
) -> Explanation:
    view = ConfigurationView(configuration, NO_REVISION)
    pins = PinSigner(keys=(UNUSED_KEY,), clock=SystemClock())
    router = VersionRouter(pins=pins, random=Random(SEED))
    return explain_request(question, view=view, router=router)


async def _explain_on_entry(
    client: OperatorClient, question: ExplanationRequest, *, json: bool
) -> ExitCode:
    match await client.explain(question):
        case Failure(error):
            return report_client_error(error)
        case Success(explanation):
            return _report(explanation, json=json)
    raise AssertionError("a Result is a Success or a Failure")


def _report(explanation: Explanation, *, json: bool) -> ExitCode:
    code = ExitCode.OK if explanation.is_permitted else ExitCode.REFUSED
    if json:
        print_json(explanation)
        return code
    if explanation.is_permitted:
        order = ", then ".join(explanation.versions) or "a plain service"
        print(f"permitted: {order}")
    else:
        print(f"refused: {explanation.refusal}")
    print_table(
        ("version", "model", "quality", "cost", "rule"),
        (
            (item.version, item.model, f"{item.quality:.3f}", item.cost, _rule(item))
            for item in explanation.candidates
        ),
    )
    return code


def _rule(candidate: Candidate) -> str:
    is_chosen = candidate.exclusion is Exclusion.NONE
    return "to be tried" if is_chosen else candidate.exclusion.value
