"""Identifiers as distinct types, which a type checker keeps from being mixed up."""

from typing import NewType

#: A change of the configuration; submitting the same change again repeats its id.
ChangeId = NewType("ChangeId", str)
#: A process that answers requests: a model engine or a plain service.
EndpointId = NewType("EndpointId", str)
#: A group of machines that can fail together.
FailureDomainId = NewType("FailureDomainId", str)
#: Increases with each holder of a lease; engines may refuse orders with an older one.
FencingNumber = NewType("FencingNumber", int)
#: Number of one run of a process; a restart gets a higher one.
Incarnation = NewType("Incarnation", int)
#: One entry process of the router.
InstanceId = NewType("InstanceId", str)
#: A family of versions under one name.
ModelId = NewType("ModelId", str)
#: Random value that binds an answer to one dispatch.
Nonce = NewType("Nonce", str)
#: A customer of a product.
OrganisationId = NewType("OrganisationId", str)
#: A product with its own organisations, quality target and budget.
ProductId = NewType("ProductId", str)
#: A group of failure domains.
RegionId = NewType("RegionId", str)
#: Kind of work that a request asks for, for example ``stand-lookup``.
RequestClass = NewType("RequestClass", str)
#: Set by the caller or issued by an entry; the same id means the same request.
RequestId = NewType("RequestId", str)
#: Position of a configuration in the order of accepted changes; starts at 1.
Revision = NewType("Revision", int)
#: One declared roll-out.
RolloutId = NewType("RolloutId", str)
#: A plain service, which has no model or versions.
ServiceId = NewType("ServiceId", str)
#: A conversation, which is pinned to one version.
SessionId = NewType("SessionId", str)
#: One version of a model; unique across models.
VersionId = NewType("VersionId", str)
