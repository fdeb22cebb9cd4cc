"""Load balancing: which target of a service gets a call.

Importing the balancer modules here registers each balancer.
"""

from sassafras_policy.balancing import expected_wait as expected_wait
