"""Admission control: deadlines, priorities, fair shares and early refusals."""

from fuchsiaroute.admission._admission import MAX_WAIT, Admission
from fuchsiaroute.admission._gate import AdmissionGate
from fuchsiaroute.fairness import FairQueue, Ticket

__all__ = ["MAX_WAIT", "Admission", "AdmissionGate", "FairQueue", "Ticket"]
