"""The settings tree: reading, validation and inheritance.

Levels are platform, service, region and failure domain; the deepest level that states a value
decides. At the region and the domain level a value may be stated for all services (under
``regions``) or for one (under ``services.<name>.regions``); the latter wins at the same level.
"""

from collections.abc import Iterator
from functools import lru_cache

import msgspec

from ._problems import Locate, Problem, allowed_values, nearest, raise_problems
from ._sections import SECTIONS, Level
from ._settings import (
    EffectiveSettings,
    Name,
    Scope,
    ServiceSettings,
    TreeSettings,
    decode_jsonc,
)
from ._tree_checks import check_effective
from .exceptions import SettingsError

__all__ = ["effective", "parse_tree", "precedence", "scopes_in_use", "stated_values"]

_STRUCTURE = {
    Level.PLATFORM: ("services", "regions"),
    Level.SERVICE: ("keyed", "shards", "regions"),
    Level.REGION: ("domains",),
    Level.DOMAIN: (),
}


def precedence(service: str, region: str, domain: str) -> tuple[Scope, ...]:
    """Returns the scopes that may state a value, the one that wins last.

    Args:
        service: The service.
        region: The region.
        domain: The failure domain.
    """
    return (
        Scope(),
        Scope(service),
        Scope("", region),
        Scope(service, region),
        Scope("", region, domain),
        Scope(service, region, domain),
    )


def effective(
    tree: TreeSettings, service: str, region: str = "", domain: str = ""
) -> EffectiveSettings:
    """Returns the values in force for one service in one failure domain.

    Args:
        tree: The settings as stated.
        service: Name of a service of the tree.
        region: Region, or an empty string for what holds in any region.
        domain: Failure domain, or an empty string for what holds in any domain.

    Raises:
        SettingsError: The tree has no such service.
    """
    settings = tree.services.get(service)
    if settings is None:
        detail = f"no service {service!r}{nearest(service, tree.services)}"
        raise SettingsError(detail, step="settings.effective")
    stated: dict[str, dict[str, object]] = {name: {} for name in SECTIONS}
    for scope in precedence(service, region, domain):
        for path, value in tree.statements.get(scope, {}).items():
            section, _, field = path.partition(".")
            stated[section][field] = value
    sections = {name: SECTIONS[name].model(**values) for name, values in stated.items()}
    return EffectiveSettings(service, region, domain, settings.keyed, settings.shards, **sections)


def scopes_in_use(tree: TreeSettings) -> Iterator[tuple[str, str, str]]:
    """Yields service, region and domain of every combination that the tree names."""
    for service in tree.services:
        yield service, "", ""
        for region, domains in tree.regions.items():
            yield service, region, ""
            for domain in domains:
                yield service, region, domain


def stated_values(tree: TreeSettings) -> dict[tuple[str, ...], object]:
    """Returns every stated value by its full path in the document."""
    values: dict[tuple[str, ...], object] = {}
    for name, settings in tree.services.items():
        for field in ("keyed", "shards"):
            values["services", name, field] = getattr(settings, field)
    for scope, statements in tree.statements.items():
        for path, value in statements.items():
            values[(*scope.path, *path.split("."))] = value
    return values


def parse_tree(
    text: str, source: str, *, locate: Locate | None = None, ignore_unknown: bool = False
) -> TreeSettings:
    """Reads a settings tree.

    Args:
        text: JSON with comments.
        source: Named in errors.
        locate: Finds the line of a path, for errors.
        ignore_unknown: Skip names that this program does not know instead of refusing them, so
            that a node can read a tree that a newer program wrote.

    Raises:
        SettingsError: The tree is not valid; the error lists every problem.
    """
    reader = _Reader(ignore_unknown)
    reader.read(decode_jsonc(text, source))
    tree = TreeSettings(reader.services, reader.regions, reader.statements, tuple(reader.ignored))
    problems = reader.problems or _check_combinations(tree)
    raise_problems(problems, text, source, locate)
    return tree


def _check_combinations(tree: TreeSettings) -> list[Problem]:
    problems: dict[Problem, None] = {}
    store_region = tree.statements.get(Scope(), {}).get("fleet.store_region", "")
    if store_region and store_region not in tree.regions:
        hint = nearest(store_region, tree.regions)
        problems[Problem(("fleet", "store_region"), f"no region {store_region!r}{hint}")] = None
    checked: set[tuple[Scope, ...]] = set()
    for service, region, domain in scopes_in_use(tree):
        scopes = dict.fromkeys(precedence(service, region, domain))
        stating = tuple(scope for scope in scopes if scope in tree.statements)
        if stating in checked:
            # The same statements give the same values.
            continue
        checked.add(stating)
        settings = effective(tree, service, region, domain)
        for path, message in check_effective(settings):
            deciding = [scope for scope in stating if path in tree.statements[scope]]
            where = (*(deciding or [Scope()])[-1].path, *path.split("."))
            problems[Problem(where, message)] = None
    return list(problems)


class _Reader:
    """Collects statements and problems in one walk over a decoded document."""

    def __init__(self, ignore_unknown: bool) -> None:
        self._ignore_unknown = ignore_unknown
        self.services: dict[str, ServiceSettings] = {}
        self.regions: dict[str, tuple[str, ...]] = {}
        self.statements: dict[Scope, dict[str, object]] = {}
        self.problems: list[Problem] = []
        self.ignored: list[str] = []

    def read(self, document: object) -> None:
        """Reads a whole document."""
        if not self._is_object((), document):
            return
        if "services" not in document:
            self._problem(("services",), "missing; name at least one service")
        # The regions of a service are checked against those of the platform.
        for name, region in self._named(("regions",), document.get("regions", {})):
            domains = region.get("domains", {}) if isinstance(region, dict) else {}
            self.regions[name] = tuple(domains) if isinstance(domains, dict) else ()
        self._level(Scope(), (), document)
        for name, service in self._named(("services",), document.get("services", {})):
            path = ("services", name)
            if self._is_object(path, service):
                self.services[name] = self._service(path, service)
                self._level(Scope(name), path, service)
                self._regions(Scope(name), path, service)
        self._regions(Scope(), (), document)

    def _service(self, path: tuple[str, ...], content: dict) -> ServiceSettings:
        values = {}
        for field in msgspec.structs.fields(ServiceSettings):
            if field.name in content:
                values[field.name] = self._convert(
                    (*path, field.name), content[field.name], field.type, field.default
                )
        return ServiceSettings(**values)

    def _regions(self, scope: Scope, path: tuple[str, ...], content: dict) -> None:
        for name, region in self._named((*path, "regions"), content.get("regions", {})):
            inner = (*path, "regions", name)
            if not self._is_known(inner, name, self.regions, "region"):
                continue
            if not self._is_object(inner, region):
                continue
            self._level(Scope(scope.service, name), inner, region)
            domains = self._named((*inner, "domains"), region.get("domains", {}))
            for domain, values in domains:
                innermost = (*inner, "domains", domain)
                known = self.regions[name]
                if self._is_known(innermost, domain, known, "failure domain") and self._is_object(
                    innermost, values
                ):
                    self._level(Scope(scope.service, name, domain), innermost, values)

    def _level(self, scope: Scope, path: tuple[str, ...], content: dict) -> None:
        structure = _STRUCTURE[scope.level]
        for name, value in content.items():
            if name in structure:
                continue
            section = SECTIONS.get(name)
            inner = (*path, name)
            if section is None:
                self._unknown(inner, name, (*SECTIONS, *structure))
            elif scope.level not in section.levels:
                levels = " or ".join(level.name.lower() for level in section.levels)
                self._problem(inner, f"may be stated at the {levels} level only")
            elif self._is_object(inner, value):
                self._section(scope, inner, section.model, value)

    def _section(self, scope: Scope, path: tuple[str, ...], model: type, content: dict) -> None:
        fields = _field_types(model)
        for name, value in content.items():
            if name not in fields:
                self._unknown((*path, name), name, fields)
                continue
            converted = self._convert((*path, name), value, fields[name], None)
            self.statements.setdefault(scope, {})[f"{path[-1]}.{name}"] = converted

    def _named(self, path: tuple[str, ...], content: object) -> Iterator[tuple[str, object]]:
        if not self._is_object(path, content):
            return
        for name, value in content.items():
            try:
                msgspec.convert(name, Name)
            except msgspec.ValidationError:
                rule = "allowed: 1 to 63 of a-z, 0-9 and -, not starting with -"
                self._problem((*path, name), f"not a valid name; {rule}")
            else:
                yield name, value

    def _convert(self, path: tuple[str, ...], value: object, kind: object, default: object):
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            self._problem(path, f"{error}; allowed: {allowed_values(kind)}")
            return default

    def _is_object(self, path: tuple[str, ...], value: object) -> bool:
        if isinstance(value, dict):
            return True
        self._problem(path, "must be an object in braces")
        return False

    def _is_known(self, path: tuple[str, ...], name: str, known, kind: str) -> bool:
        if name in known:
            return True
        self._problem(path, f"no {kind} of that name under the platform's regions", name, known)
        return False

    def _unknown(self, path: tuple[str, ...], name: str, known) -> None:
        if self._ignore_unknown:
            self.ignored.append(".".join(path))
        else:
            self._problem(path, "unknown name", name, known)

    def _problem(self, path: tuple[str, ...], message: str, name: str = "", known=()) -> None:
        problem = Problem(path, message + (nearest(name, known) if name else ""))
        if problem not in self.problems:
            self.problems.append(problem)


@lru_cache(maxsize=32)
def _field_types(model: type) -> dict[str, object]:
    return {field.name: field.type for field in msgspec.structs.fields(model)}
