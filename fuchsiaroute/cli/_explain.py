"""The command that explains a routing decision."""

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

#: A declaration is explained without live ratings, so that it is the same each time.
SEED = 1
#: Explanations verify no pin; the signer only has to exist.
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
    Show how a request would be routed, and the rule against each other version.

    Parameters
    ----------
    organisation
        The organisation that the request comes from.
    declaration
        Explain by this declaration and its own quality estimates, without an entry.
    request_class
        The kind of work; the product's most demanding one by default.
    model
        Model, version or service by name, or "auto".
    session
        Id of a session that has no version yet.
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
    return run_with_client(options, lambda client: _ask(client, question, json=json))


def _explain_declaration(
    path: Path, question: ExplanationRequest, *, json: bool
) -> ExitCode:
    match read_declaration(path):
        case Failure(faults):
            print_errors(faults)
            return ExitCode.FAULTY_INPUT
        case Success(configuration):
            return _report(_explained(configuration, question), json=json)
    raise AssertionError("a Result is a Success or a Failure")


def _explained(
    configuration: Configuration, question: ExplanationRequest
) -> Explanation:
    view = ConfigurationView(configuration, NO_REVISION)
    pins = PinSigner(keys=(UNUSED_KEY,), clock=SystemClock())
    router = VersionRouter(pins=pins, random=Random(SEED))
    return explain_request(question, view=view, router=router)


async def _ask(
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
