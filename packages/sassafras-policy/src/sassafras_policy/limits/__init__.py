"""Rates of organisations over all hosts together.

The modules with limiters are imported here so that each name is registered.
"""

from sassafras_policy.limits import demand_share as demand_share
from sassafras_policy.limits import pooled_share as pooled_share
from sassafras_policy.limits import static_share as static_share
from sassafras_policy.limits import token_escrow as token_escrow
