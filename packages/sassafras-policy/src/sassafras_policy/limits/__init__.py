"""Rate limits of organisations across all hosts.

Importing the limiter modules here registers each limiter.
"""

from sassafras_policy.limits import demand_share as demand_share
from sassafras_policy.limits import pooled_share as pooled_share
from sassafras_policy.limits import static_share as static_share
from sassafras_policy.limits import token_escrow as token_escrow
