"""Target selection, load estimates, prefix caches and outlier ejection."""

from galenaswitch.routing.choice import (
    Chooser,
    LeastOutstanding,
    PredictedFinish,
    RoundRobin,
    WorkEstimate,
)
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import PrefixIndex, hash_blocks

__all__ = (
    'Chooser',
    'Ejector',
    'LeastOutstanding',
    'LoadView',
    'PredictedFinish',
    'PrefixIndex',
    'RoundRobin',
    'WorkEstimate',
    'hash_blocks',
)
