"""Explains effective settings values: for each value, the levels of the tree that state it."""

from dataclasses import dataclass

import msgspec

from ._edits import DocumentPath, format_path
from ._problems import known_names_hint
from ._sections import SECTIONS
from ._settings import Scope, ServiceSettings, TreeSettings
from ._tree import scopes_by_precedence
from .exceptions import SettingsError

__all__ = ["ExplainedValue", "Statement", "describe_scope", "explain"]


@dataclass(frozen=True, slots=True)
class Statement:
    """A value as stated at one level of the settings tree, or a built-in default.

    Attributes:
        value: The stated value.
        level: Name of the level, for example ``region wien``, or ``default``.
        path: Path in the settings document; empty for a built-in default.
    """

    value: object
    level: str
    path: DocumentPath = ()

    @property
    def origin_key(self) -> str:
        """Key of the statement in the `origins` of a settings record."""
        return format_path(self.path)


@dataclass(frozen=True, slots=True)
class ExplainedValue:
    """A setting and all levels that state it.

    Attributes:
        name: ``section.field``, or the name of a service's field.
        statements: Statements in descending order of precedence; the first one is in force.
    """

    name: str
    statements: tuple[Statement, ...]

    @property
    def in_force(self) -> Statement:
        """The statement with the highest precedence."""
        return self.statements[0]


def describe_scope(scope: Scope) -> str:
    """Returns a readable name of a scope, for example ``region wien of catalogue``."""
    place = "platform"
    if scope.domain:
        place = f"domain {scope.region}/{scope.domain}"
    elif scope.region:
        place = f"region {scope.region}"
    elif scope.service:
        return f"service {scope.service}"
    return f"{place} of {scope.service}" if scope.service else place


def explain(
    tree: TreeSettings, service: str, region: str, domain: str, name_filter: str = ""
) -> list[ExplainedValue]:
    """Returns each effective value with the levels that state it.

    Args:
        tree: The settings tree.
        service: Name of a service; empty for the values that apply to any service.
        region: Name of a region; empty for the values that apply in any region.
        domain: Name of a failure domain of the region; empty for any.
        name_filter: ``section`` or ``section.field``; empty for all values.

    Raises:
        SettingsError: The service, region, failure domain, section or field does not exist.
    """
    _require_known("service", service, tree.services)
    _require_known("region", region, tree.regions)
    _require_known("failure domain", domain, tree.regions.get(region, ()))
    scopes = list(dict.fromkeys(scopes_by_precedence(service, region, domain)))[::-1]
    values = _service_values(tree, service) if service else []
    for section in SECTIONS.values():
        for field in msgspec.structs.fields(section.model):
            name = f"{section.name}.{field.name}"
            statements = [
                Statement(
                    tree.statements[scope][name],
                    describe_scope(scope),
                    (*scope.path, section.name, field.name),
                )
                for scope in scopes
                if name in tree.statements.get(scope, {})
            ]
            default = Statement(field.default, "default")
            values.append(ExplainedValue(name, (*statements, default)))
    selected = [
        value
        for value in values
        if not name_filter or f"{value.name}.".startswith(f"{name_filter}.")
    ]
    if not selected:
        known_names = [value.name for value in values] + list(SECTIONS)
        raise SettingsError(
            f"unknown name {name_filter!r}{known_names_hint(name_filter, known_names)}",
            step="settings.explain",
        )
    return selected


def _service_values(tree: TreeSettings, service: str) -> list[ExplainedValue]:
    settings = tree.services[service]
    values = []
    for field in msgspec.structs.fields(ServiceSettings):
        value = getattr(settings, field.name)
        default = Statement(field.default, "default")
        path = ("services", service, field.name)
        stated = (Statement(value, f"service {service}", path),) if value != field.default else ()
        values.append(ExplainedValue(field.name, (*stated, default)))
    return values


def _require_known(kind: str, name: str, known_names) -> None:
    if name and name not in known_names:
        raise SettingsError(
            f"no {kind} {name!r}{known_names_hint(name, known_names)}", step="settings.explain"
        )
