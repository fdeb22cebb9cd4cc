"""Admission control: which calls a target executes, queues or refuses.

Importing the policy modules here registers each policy.
"""

from sassafras_policy.admission import by_deadline as by_deadline
from sassafras_policy.admission import paced as paced
