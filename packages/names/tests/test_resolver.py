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
def test_names_that_are_meant_unambiguously_resolve(customer, job, expected) -> None:
    # Guards against refusing names that operators would have corrected by hand.
    found = resolve(customer, job)
    assert isinstance(found, ResolvedNames), found
    assert (found.customer, found.job) == expected


@pytest.mark.parametrize(
    ("customer", "job", "reason"),
    [
        # Claimed by two customers.
        ("church", "ray-trace", "ambiguous"),
        # One error from two customers.
        ("museumd", "any", "ambiguous"),
        # The customer doesn't consent, for its own name or for its jobs.
        ("contractros", "permit-renewal", "correction_off"),
        ("contractors", "permit-renewel", "correction_off"),
        # Another number is another customer.
        ("council-2", "any", "unknown"),
        ("council", "any", "unknown"),
        # Two guesses support nothing.
        ("parihs", "gnomom-check", "two_corrections"),
        ("x" * 10_000, "any", "unknown"),
        ("", "any", "unknown"),
    ],
)
def test_work_never_moves_to_another_customer_by_guess(customer, job, reason) -> None:
    # Guards against work that runs under the guarantee of a customer that was not meant.
    found = resolve(customer, job)
    assert isinstance(found, NameRefusal), found
    assert found.reason == reason


def test_valid_name_is_never_changed() -> None:
    # Guards against an alias or a close name that takes over the name of a real customer.
    table = NameTable(
        kind="customer",
        aliases={"museum": (), "museums": ("museum",), "Museum": ()},
        correctable=("museums",),
    )
    assert table.resolve("museum").ok.name == "museum"
    assert table.resolve("Museum").ok.name == "Museum"
    assert table.resolve("MUSEUM").error.reason == "ambiguous"


def test_short_part_that_tells_customers_apart_is_not_corrected() -> None:
    # Guards against a customer that is not set up and takes the guarantee of one that is.
    table = NameTable(
        kind="customer", aliases={"ren-demolition": ()}, correctable=["ren-demolition"]
    )
    assert table.resolve("men-demolition").error.reason == "unknown"
    assert table.resolve("ren_demolitoin").ok.name == "ren-demolition"


def test_read_of_a_customers_data_is_not_corrected() -> None:
    # Guards against showing one customer's data to a caller that misspelled another's name.
    resolver = NameResolver()
    resolver.update(SETTINGS)
    assert resolver.resolve_customer("parihs").error.nearest == ("parish",)
    assert resolver.resolve_customer("parrish").ok.name == "parish"


def test_report_keeps_frequent_spellings_in_bounded_memory() -> None:
    # Guards against a flood of unique names that fills memory or hides the frequent ones.
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
