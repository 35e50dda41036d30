"""Says of each value in force where it comes from."""

from dataclasses import dataclass

import msgspec

from ._edits import Path, path_text
from ._problems import nearest
from ._sections import SECTIONS
from ._settings import Scope, ServiceSettings, TreeSettings
from ._tree import precedence
from .exceptions import SettingsError

__all__ = ["ExplainedValue", "Statement", "describe_scope", "explain"]


@dataclass(frozen=True, slots=True)
class Statement:
    """One place that gives a value.

    Attributes:
        value: The value.
        level: The place in words, for example ``region wien``.
        path: Path in the document, empty for a built-in default.
    """

    value: object
    level: str
    path: Path = ()

    @property
    def origin_key(self) -> str:
        """Key of the statement among the origins of a settings record."""
        return path_text(self.path)


@dataclass(frozen=True, slots=True)
class ExplainedValue:
    """A value and all places that give one, the place in force first."""

    name: str
    statements: tuple[Statement, ...]

    @property
    def in_force(self) -> Statement:
        """The statement that decides."""
        return self.statements[0]


def describe_scope(scope: Scope) -> str:
    """Returns a scope in words."""
    place = "platform"
    if scope.domain:
        place = f"domain {scope.region}/{scope.domain}"
    elif scope.region:
        place = f"region {scope.region}"
    elif scope.service:
        return f"service {scope.service}"
    return f"{place} of {scope.service}" if scope.service else place


def explain(
    tree: TreeSettings, service: str, region: str, domain: str, names: str = ""
) -> list[ExplainedValue]:
    """Returns each value in force with the places that state it.

    Args:
        tree: The settings as stated.
        service: A service, or an empty string for what holds for any.
        region: A region, or an empty string.
        domain: A failure domain of the region, or an empty string.
        names: ``section`` or ``section.field``; empty for everything.

    Raises:
        SettingsError: The tree or its schema has no such name.
    """
    _require_known("service", service, tree.services)
    _require_known("region", region, tree.regions)
    _require_known("failure domain", domain, tree.regions.get(region, ()))
    scopes = list(dict.fromkeys(precedence(service, region, domain)))[::-1]
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
    selected = [value for value in values if not names or f"{value.name}.".startswith(f"{names}.")]
    if not selected:
        known_names = [value.name for value in values] + list(SECTIONS)
        raise SettingsError(
            f"unknown name {names!r}{nearest(names, known_names)}", step="settings.explain"
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
            f"no {kind} {name!r}{nearest(name, known_names)}", step="settings.explain"
        )
