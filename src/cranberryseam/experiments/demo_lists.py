"""Customer and usage lists of the demonstration."""

from __future__ import annotations

from typing import Final

from ..cli.keys import hash_key
from .local import TARGET_KEY

WHOLESALE_RATE: Final = 20
WHOLESALE_BURST: Final = 20

CUSTOMERS: Final = """
[accounts.asha]
plan = "trader"
home = "dar"

[accounts.zuri]
plan = "trader"
home = "dar"

[accounts.bahari]
plan = "wholesale"
home = "dar"
"""

_USAGE: Final = """
[services.katalogi]
floor = "50%"
target_key_hashes = ["{target_key_hash}"]

[services.malipo]
floor = "50%"
target_key_hashes = ["{target_key_hash}"]

[routes.catalogue]
service = "katalogi"
prefix = "/catalogue"
methods = ["GET"]
deadline = "4s"

[[routes.catalogue.windows]]
start = "07:00"
end = "10:00"
deadline = "2s"

[routes.orders]
service = "malipo"
prefix = "/orders"
methods = ["POST"]
retriable = []
deadline = "8s"

[plans.trader]
rate = "1000/s"
burst = 1000
weight = 1
routes = ["catalogue", "orders"]

[plans.wholesale]
rate = "{big_rate}/s"
burst = {big_burst}
weight = 2
routes = ["catalogue"]
"""


def build_usage() -> str:
    """Return the usage list: services, routes and plans."""
    return _USAGE.format(
        target_key_hash=hash_key(TARGET_KEY).hex(),
        big_rate=WHOLESALE_RATE,
        big_burst=WHOLESALE_BURST,
    )


__all__ = ('CUSTOMERS', 'WHOLESALE_BURST', 'WHOLESALE_RATE', 'build_usage')
