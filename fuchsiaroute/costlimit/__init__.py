"""Daily cost limits per organisation, enforced across all entries."""

from fuchsiaroute.costlimit._allowances import Allowances, allowance_key
from fuchsiaroute.costlimit._meter import CostMeter, Day, day_of

__all__ = ["Allowances", "CostMeter", "Day", "allowance_key", "day_of"]
