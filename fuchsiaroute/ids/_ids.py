"""Identifiers as distinct types, so that a type checker tells them apart."""

from typing import NewType

#: One attempt of an operator to change the configuration; unique per attempt.
ChangeId = NewType("ChangeId", str)
#: One process that answers requests: a model engine or a plain service.
EndpointId = NewType("EndpointId", str)
#: A group of machines that can fail together.
FailureDomainId = NewType("FailureDomainId", str)
#: Grows with each holder of a lease; engines may refuse orders with an old one.
FencingNumber = NewType("FencingNumber", int)
#: One life of a process; a restart gets a new and higher one.
Incarnation = NewType("Incarnation", int)
#: One entry process of the router.
InstanceId = NewType("InstanceId", str)
#: A family of versions under one name.
ModelId = NewType("ModelId", str)
#: Random value that ties an answer to one dispatch.
Nonce = NewType("Nonce", str)
#: A customer of a product.
OrganisationId = NewType("OrganisationId", str)
#: A product with its own organisations, quality target and budget.
ProductId = NewType("ProductId", str)
#: A group of failure domains.
RegionId = NewType("RegionId", str)
#: The kind of work a request asks for, for example ``stand-lookup``.
RequestClass = NewType("RequestClass", str)
#: Chosen by the caller; the same id means the same request.
RequestId = NewType("RequestId", str)
#: Position of a configuration in the order of accepted changes; starts at 1.
Revision = NewType("Revision", int)
#: One declared roll-out.
RolloutId = NewType("RolloutId", str)
#: A plain service beside the models.
ServiceId = NewType("ServiceId", str)
#: A conversation that keeps its version.
SessionId = NewType("SessionId", str)
#: One version of a model; unique across models.
VersionId = NewType("VersionId", str)
