"""Conversion of plain trees to typed settings; unchanged parts are reused."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, Any

from zinniaweir.settings.errors import SettingsError
from zinniaweir.settings.model import (
    Customer,
    FailureDomain,
    Name,
    Policy,
    Rack,
    Service,
    Settings,
    Topology,
    Worker,
)
from zinniaweir.settings.plain import MAX_PROBLEMS, join_path, problem
from zinniaweir.settings.schema import convert

if TYPE_CHECKING:
    import msgspec

    from zinniaweir.wire.scheduler_service import Problem


def build_settings(
    tree: dict[str, Any], old_tree: dict[str, Any], old: Settings
) -> tuple[Settings, list[Problem]]:
    """Convert a plain tree to typed settings, and collect problems of types, units and ranges.

    A part of the tree that is the same object as in the old tree keeps its old typed form, so a
    change costs only the conversion of the part that it replaces.

    Args:
        tree: The plain tree.
        old_tree: A plain tree that was converted before.
        old: Typed form of the old tree.

    Returns:
        The typed settings, which are complete only if there are no problems, and the problems.
    """
    if tree is old_tree:
        return old, []
    return _Builder().settings(tree, old_tree, old)


def parse_settings(tree: Any) -> Settings:
    """Convert a plain tree that another process has checked to typed settings.

    Args:
        tree: The plain tree, for example from the scheduler process.

    Raises:
        SettingsError: If the tree breaks a rule of types, units or ranges.
    """
    settings, problems = build_settings(tree, {}, Settings())
    if problems:
        raise SettingsError(problems)
    return settings


class _Builder:
    """Converts one plain tree and collects its problems."""

    def __init__(self) -> None:
        self._problems: list[Problem] = []

    def settings(
        self, tree: Any, old_tree: dict[str, Any], old: Settings
    ) -> tuple[Settings, list[Problem]]:
        if not self._check_mapping(tree, "", Settings):
            return old, self._problems
        services = self._members(tree, old_tree, "services", Service, old.services)
        customers = self._members(tree, old_tree, "customers", Customer, old.customers)
        topology = self._topology(
            tree.get("topology", {}), old_tree.get("topology", {}), old.topology
        )
        policy = self._policy(tree, old_tree, old.policy)
        new = Settings(topology=topology, services=services, customers=customers, policy=policy)
        return new, self._problems

    def _topology(self, tree: Any, old_tree: dict[str, Any], old: Topology) -> Topology:
        if tree is old_tree or not self._check_mapping(tree, "topology", Topology):
            return old
        domains = self._members(
            tree, old_tree, "failure_domains", FailureDomain, old.failure_domains, "topology"
        )
        racks = self._members(tree, old_tree, "racks", Rack, old.racks, "topology")
        workers = self._members(tree, old_tree, "workers", Worker, old.workers, "topology")
        return Topology(failure_domains=domains, racks=racks, workers=workers)

    def _policy(self, tree: dict[str, Any], old_tree: dict[str, Any], old: Policy) -> Policy:
        value = tree.get("policy", {})
        if value is old_tree.get("policy"):
            return old
        policy, problems = convert(value, Policy, "policy")
        self._problems += problems
        return policy or old

    def _members(
        self,
        tree: dict[str, Any],
        old_tree: dict[str, Any],
        key: str,
        kind: type[Any],
        old: dict[str, Any],
        above: str = "",
    ) -> dict[str, Any]:
        """Return the typed members of a collection; unchanged members are reused."""
        values, old_values = tree.get(key, {}), old_tree.get(key, {})
        path = join_path(above, key)
        if values is old_values:
            return old
        if not isinstance(values, dict):
            self._problems.append(problem(path, values, "expected a mapping"))
            return old
        members: dict[str, Any] = {}
        for name, value in values.items():
            if len(self._problems) >= MAX_PROBLEMS:
                break
            if name in old and value is old_values.get(name):
                members[name] = old[name]
                continue
            self._problems += convert(name, Name, path)[1]
            member, problems = convert(value, kind, join_path(path, name))
            self._problems += problems
            if member is not None:
                members[name] = member
        return members

    def _check_mapping(self, value: Any, path: str, kind: type[msgspec.Struct]) -> bool:
        """Return whether a value is a mapping, and collect a problem for each unknown field."""
        if not isinstance(value, dict):
            self._problems.append(problem(path, value, "expected a mapping"))
            return False
        known = kind.__struct_fields__
        self._problems += [
            problem(
                join_path(path, key), value[key], f"unknown field; known are {', '.join(known)}"
            )
            for key in islice((key for key in value if key not in known), MAX_PROBLEMS)
        ]
        return True
