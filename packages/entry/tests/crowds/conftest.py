"""An entry process for the tests with crowds."""

from __future__ import annotations

import contextlib
import resource
from collections.abc import Iterator

import pytest

from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.layout import make_layout

from .entry_process import ENTRY_SETTINGS, MAX_FDS, ObservedEntry


@contextlib.contextmanager
def few_descriptors() -> Iterator[None]:
    """Lower the descriptor limit of processes that are started in the block."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    """Run a cluster of one VM."""
    layout = make_layout(vms=1, workers_per_domain=2)
    with Cluster(layout=layout, entry_settings=ENTRY_SETTINGS) as cluster:
        cluster.start()
        yield cluster


@pytest.fixture
def entry(cluster: Cluster) -> Iterator[ObservedEntry]:
    """Run a fresh entry process with a small memory and few descriptors."""
    observed = ObservedEntry(cluster=cluster)
    with few_descriptors():
        observed.start()
    yield observed
    observed.stop()
