"""Tests of the resolution and correction of names, and of the report on them."""

from __future__ import annotations

import pytest

from zinniaweir.names import NameRefusal, NameReport, NameResolver, ResolvedNames
from zinniaweir.names.table import NameTable, ResolvedName

SETTINGS = {
    "customers": {
        "parish": {
            "aliases": ["parrish", "church"],
            "name_correction": True,
            "jobs": {"ray-trace": {"aliases": ["raytrace"]}, "gnomon-check": {}},
        },
        "contractors": {"aliases": ["church"], "jobs": {"permit-renewal": None}},
        "council-1": {"name_correction": True},
        "museums": {"name_correction": True},
        "museum": {"name_correction": True},
    }
}


def resolve(customer: str, job: str = "ray-trace") -> ResolvedNames | NameRefusal:
    resolver = NameResolver()
    resolver.update(SETTINGS)
    found = resolver.resolve(customer=customer, job=job)
    return found.ok if found.is_ok() else found.error


@pytest.mark.parametrize(
    ("customer", "job", "expected"),
    [
        (" PARISH ", "Ray-Trace", ("parish", "ray-trace")),
        ("parrish", "raytrace", ("parish", "ray-trace")),
        ("parihs", "ray-trace", ("parish", "ray-trace")),
        ("parish", "gnomom-check", ("parish", "gnomon-check")),
        ("council-1", "any name", ("council-1", "any name")),
    ],
)
def test_unambiguous_names_resolve(customer, job, expected) -> None:
    """Names that operators would have corrected by hand must not be refused."""
    found = resolve(customer, job)
    assert isinstance(found, ResolvedNames), found
    assert (found.customer, found.job) == expected


@pytest.mark.parametrize(
    ("customer", "job", "reason"),
    [
        # An alias of two customers.
        ("church", "ray-trace", "ambiguous"),
        # One error away from two customers.
        ("museumd", "any", "ambiguous"),
        # The customer doesn't allow corrections, of its own name or of its jobs.
        ("contractros", "permit-renewal", "correction_off"),
        ("contractors", "permit-renewel", "correction_off"),
        # A different number means a different customer.
        ("council-2", "any", "unknown"),
        ("council", "any", "unknown"),
        # Only one of both names may be corrected.
        ("parihs", "gnomom-check", "two_corrections"),
        ("x" * 10_000, "any", "unknown"),
        ("", "any", "unknown"),
    ],
)
def test_ambiguous_or_doubtful_names_are_refused(customer, job, reason) -> None:
    """Work must not run under the guarantee of another customer than the one that was meant.

    A doubtful correction would cause it.
    """
    found = resolve(customer, job)
    assert isinstance(found, NameRefusal), found
    assert found.reason == reason


def test_valid_name_is_never_changed() -> None:
    """An alias or a similar name must not take precedence over the name of a real customer."""
    table = NameTable(
        kind="customer",
        aliases={"museum": (), "museums": ("museum",), "Museum": ()},
        correctable=("museums",),
    )
    assert table.resolve("museum").ok.name == "museum"
    assert table.resolve("Museum").ok.name == "Museum"
    assert table.resolve("MUSEUM").error.reason == "ambiguous"


def test_short_distinguishing_part_is_not_corrected() -> None:
    """A customer that is not set up must not use the guarantee of one whose name is similar."""
    table = NameTable(
        kind="customer", aliases={"ren-demolition": ()}, correctable=["ren-demolition"]
    )
    assert table.resolve("men-demolition").error.reason == "unknown"
    assert table.resolve("ren_demolitoin").ok.name == "ren-demolition"


def test_read_of_a_customers_data_is_not_corrected() -> None:
    """A caller that misspells a customer's name must not be shown another customer's data."""
    resolver = NameResolver()
    resolver.update(SETTINGS)
    assert resolver.resolve_customer("parihs").error.nearest == ("parish",)
    assert resolver.resolve_customer("parrish").ok.name == "parish"


def test_report_keeps_frequent_spellings_in_bounded_memory() -> None:
    """A flood of unique names must not fill the memory or displace the frequent ones."""
    report = NameReport(capacity=10)
    frequent = ResolvedName(name="parish", given="parihs", match_kind="corrected")
    for number in range(1000):
        report.record_correction(kind="customer", customer="", name=frequent)
        refusal = NameRefusal(kind="customer", given=f"name {number}" * 100, reason="unknown")
        report.record_refusal(customer="", refusal=refusal)
    entries = report.entries()
    assert len(entries) == 10
    assert (entries[0].given, entries[0].count) == ("parihs", 1000)
    assert report.dropped == 991
    assert max(len(entry.given) for entry in entries) <= 128
