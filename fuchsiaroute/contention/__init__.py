"""Order among requests that compete for too little room at a service's endpoints."""

from fuchsiaroute.contention._backlog_limits import (
    BACKLOG_SHARE,
    BacklogLimits,
    backlog_limits,
)

__all__ = ["BACKLOG_SHARE", "BacklogLimits", "backlog_limits"]
