"""Conversion between typed values and generated protobuf messages."""

from functools import singledispatch

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import FailureDomainId, Incarnation, InstanceId, Revision
from fuchsiaroute.membership import Announcement, MembershipUpdate, Report
from fuchsiaroute.peer._generated import peer_pb2
from fuchsiaroute.peer._messages import Extension, Heartbeat, NoConfirmation


def to_wire(heartbeat: Heartbeat) -> peer_pb2.Heartbeat:
    """Return ``heartbeat`` as a protobuf message."""
    age = heartbeat.confirmation_age
    wire = peer_pb2.Heartbeat(
        instance=heartbeat.instance,
        incarnation=heartbeat.incarnation,
        revision=heartbeat.revision,
        known_revision=heartbeat.known_revision,
        word_age=0 if isinstance(age, NoConfirmation) else age + 1,
        extensions=[
            peer_pb2.Extension(topic=item.topic, payload=item.payload)
            for item in heartbeat.extensions
        ],
    )
    for update in heartbeat.updates:
        _add_update(update, wire)
    return wire


def from_wire(wire: peer_pb2.Heartbeat) -> Heartbeat:
    """Return the typed value of a protobuf message."""
    announcements = tuple(_announcement(item) for item in wire.announcements)
    reports = tuple(_report(item) for item in wire.reports)
    age = Milliseconds(wire.word_age - 1) if wire.word_age else NoConfirmation.TOKEN
    return Heartbeat(
        instance=InstanceId(wire.instance),
        incarnation=Incarnation(wire.incarnation),
        revision=Revision(wire.revision),
        known_revision=Revision(wire.known_revision),
        confirmation_age=age,
        updates=(*announcements, *reports),
        extensions=tuple(
            Extension(topic=item.topic, payload=item.payload)
            for item in wire.extensions
        ),
    )


@singledispatch
def _add_update(update: MembershipUpdate, wire: peer_pb2.Heartbeat) -> None:
    raise TypeError(f"no protobuf message for {type(update).__name__}")


@_add_update.register
def _(update: Announcement, wire: peer_pb2.Heartbeat) -> None:
    wire.announcements.add(
        instance=update.instance,
        incarnation=update.incarnation,
        sequence=update.sequence,
        is_leaving=update.is_leaving,
        address=update.address,
        failure_domain=update.failure_domain,
    )


@_add_update.register
def _(update: Report, wire: peer_pb2.Heartbeat) -> None:
    wire.reports.add(
        observer=update.observer,
        observer_incarnation=update.observer_incarnation,
        subject=update.subject,
        subject_incarnation=update.subject_incarnation,
        is_reachable=update.is_reachable,
        sequence=update.sequence,
    )


def _announcement(wire: peer_pb2.Announcement) -> Announcement:
    return Announcement(
        instance=InstanceId(wire.instance),
        incarnation=Incarnation(wire.incarnation),
        sequence=wire.sequence,
        is_leaving=wire.is_leaving,
        address=wire.address,
        failure_domain=FailureDomainId(wire.failure_domain),
    )


def _report(wire: peer_pb2.Report) -> Report:
    return Report(
        observer=InstanceId(wire.observer),
        observer_incarnation=Incarnation(wire.observer_incarnation),
        subject=InstanceId(wire.subject),
        subject_incarnation=Incarnation(wire.subject_incarnation),
        is_reachable=wire.is_reachable,
        sequence=wire.sequence,
    )
