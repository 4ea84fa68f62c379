"""The resources that operators declare: parsing, versions, changes, audit trail."""

from sesamespring.resources.kinds import (
    DataCentre,
    MeasuringBudget,
    Resources,
    Service,
    Target,
)
from sesamespring.resources.parser import parse_resources

__all__ = [
    "DataCentre",
    "MeasuringBudget",
    "Resources",
    "Service",
    "Target",
    "parse_resources",
]
