"""Admission control: rate limits, bounded priority queues, quotas and load shedding."""

from __future__ import annotations

from zinniaweir.limits.admission import AdmissionController
from zinniaweir.limits.events import Dropped, LimitRefusal, RefusalReason, Started, Ticket
from zinniaweir.limits.gate import AdmissionGate, Permit
from zinniaweir.limits.settings import CustomerLimits, customer_limits

__all__ = [
    "AdmissionController",
    "AdmissionGate",
    "CustomerLimits",
    "Dropped",
    "LimitRefusal",
    "Permit",
    "RefusalReason",
    "Started",
    "Ticket",
    "customer_limits",
]
