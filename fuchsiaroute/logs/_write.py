"""Writes events to the log."""

import dataclasses

import eliot

from fuchsiaroute.logs._events import Event


def log_event(event: Event) -> None:
    """Write one log line for ``event``; enum members are written by value."""
    fields = {
        field.name: getattr(event, field.name) for field in dataclasses.fields(event)
    }
    eliot.log_message(event.message_type, **fields)
