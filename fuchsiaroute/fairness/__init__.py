"""Fair queueing of waiting requests."""

from fuchsiaroute.fairness._fair_queue import FairQueue
from fuchsiaroute.fairness._ticket import Ticket

__all__ = ["FairQueue", "Ticket"]
