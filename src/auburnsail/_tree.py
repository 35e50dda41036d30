"""The settings tree: parsing, validation and inheritance.

The levels are platform, service, region and failure domain. A value stated at a deeper level
overrides the others. At the region and domain levels a value may be stated for all services (under
``regions``) or for one (under ``services.<name>.regions``), which has precedence at its level.
"""

from collections.abc import Iterator
from functools import lru_cache

import msgspec

from ._problems import LineLocator, Problem, allowed_values, known_names_hint, raise_problems
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

__all__ = ["effective", "named_combinations", "parse_tree", "scopes_by_precedence", "stated_values"]

_STRUCTURAL_NAMES = {
    Level.PLATFORM: ("services", "regions"),
    Level.SERVICE: ("keyed", "shards", "regions"),
    Level.REGION: ("domains",),
    Level.DOMAIN: (),
}


def scopes_by_precedence(service: str, region: str, domain: str) -> tuple[Scope, ...]:
    """Returns the scopes that may state a value, in ascending order of precedence.

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
        tree: The settings tree.
        service: Name of a service in the tree.
        region: Region; empty to leave out values stated for particular regions.
        domain: Failure domain; empty to leave out values stated for particular domains.

    Raises:
        SettingsError: The tree has no such service.
    """
    settings = tree.services.get(service)
    if settings is None:
        detail = f"no service {service!r}{known_names_hint(service, tree.services)}"
        raise SettingsError(detail, step="settings.effective")
    stated: dict[str, dict[str, object]] = {name: {} for name in SECTIONS}
    for scope in scopes_by_precedence(service, region, domain):
        for path, value in tree.statements.get(scope, {}).items():
            section, _, field = path.partition(".")
            stated[section][field] = value
    sections = {name: SECTIONS[name].model(**values) for name, values in stated.items()}
    return EffectiveSettings(service, region, domain, settings.keyed, settings.shards, **sections)


def named_combinations(tree: TreeSettings) -> Iterator[tuple[str, str, str]]:
    """Yields every combination of service, region and domain in the tree, empty meaning any."""
    for service in tree.services:
        yield service, "", ""
        for region, domains in tree.regions.items():
            yield service, region, ""
            for domain in domains:
                yield service, region, domain


def stated_values(tree: TreeSettings) -> dict[tuple[str, ...], object]:
    """Returns all stated values by their full path in the document."""
    values: dict[tuple[str, ...], object] = {}
    for name, settings in tree.services.items():
        for field in ("keyed", "shards"):
            values["services", name, field] = getattr(settings, field)
    for scope, statements in tree.statements.items():
        for path, value in statements.items():
            values[(*scope.path, *path.split("."))] = value
    return values


def parse_tree(
    text: str, source: str, *, locate: LineLocator | None = None, ignore_unknown: bool = False
) -> TreeSettings:
    """Parses and validates a settings tree.

    Args:
        text: JSON with comments.
        source: Name of the document in error messages.
        locate: Returns the line of a path, for error messages.
        ignore_unknown: Skip unknown names instead of reporting them, so that a node can read a
            tree written by a newer version of the program.

    Raises:
        SettingsError: The tree is not valid; the error lists every problem.
    """
    reader = _TreeReader(ignore_unknown)
    reader.read(decode_jsonc(text, source))
    tree = TreeSettings(reader.services, reader.regions, reader.statements, tuple(reader.ignored))
    problems = reader.problems or _check_combinations(tree)
    raise_problems(problems, text, source, locate)
    return tree


def _check_combinations(tree: TreeSettings) -> list[Problem]:
    problems: dict[Problem, None] = {}
    store_region = tree.statements.get(Scope(), {}).get("fleet.store_region", "")
    if store_region and store_region not in tree.regions:
        hint = known_names_hint(store_region, tree.regions)
        problems[Problem(("fleet", "store_region"), f"no region {store_region!r}{hint}")] = None
    checked: set[tuple[Scope, ...]] = set()
    for service, region, domain in named_combinations(tree):
        scopes = dict.fromkeys(scopes_by_precedence(service, region, domain))
        stating_scopes = tuple(scope for scope in scopes if scope in tree.statements)
        if stating_scopes in checked:
            # Combinations with the same stating scopes have the same values.
            continue
        checked.add(stating_scopes)
        settings = effective(tree, service, region, domain)
        for path, message in check_effective(settings):
            deciding_scopes = [scope for scope in stating_scopes if path in tree.statements[scope]]
            problem_path = (*(deciding_scopes or [Scope()])[-1].path, *path.split("."))
            problems[Problem(problem_path, message)] = None
    return list(problems)


class _TreeReader:
    """Collects the stated values and all problems in one pass over a decoded document."""

    def __init__(self, ignore_unknown: bool) -> None:
        self._ignore_unknown = ignore_unknown
        self.services: dict[str, ServiceSettings] = {}
        self.regions: dict[str, tuple[str, ...]] = {}
        self.statements: dict[Scope, dict[str, object]] = {}
        self.problems: list[Problem] = []
        self.ignored: list[str] = []

    def read(self, document: object) -> None:
        """Reads a decoded document; results and problems are in the attributes."""
        if not self._check_object((), document):
            return
        if "services" not in document:
            self._add_problem(("services",), "missing; declare at least one service")
        # The platform's regions are read first, since the regions of services are checked against
        # them.
        for name, region in self._named_members(("regions",), document.get("regions", {})):
            domains = region.get("domains", {}) if isinstance(region, dict) else {}
            self.regions[name] = tuple(domains) if isinstance(domains, dict) else ()
        self._read_level(Scope(), (), document)
        for name, service in self._named_members(("services",), document.get("services", {})):
            path = ("services", name)
            if self._check_object(path, service):
                self.services[name] = self._read_service(path, service)
                self._read_level(Scope(name), path, service)
                self._read_regions(Scope(name), path, service)
        self._read_regions(Scope(), (), document)

    def _read_service(self, path: tuple[str, ...], content: dict) -> ServiceSettings:
        values = {}
        for field in msgspec.structs.fields(ServiceSettings):
            if field.name in content:
                values[field.name] = self._convert(
                    (*path, field.name), content[field.name], field.type, field.default
                )
        return ServiceSettings(**values)

    def _read_regions(self, scope: Scope, path: tuple[str, ...], content: dict) -> None:
        for name, region in self._named_members((*path, "regions"), content.get("regions", {})):
            region_path = (*path, "regions", name)
            if not self._check_known(region_path, name, self.regions, "region"):
                continue
            if not self._check_object(region_path, region):
                continue
            self._read_level(Scope(scope.service, name), region_path, region)
            domains = self._named_members((*region_path, "domains"), region.get("domains", {}))
            for domain, values in domains:
                domain_path = (*region_path, "domains", domain)
                domain_names = self.regions[name]
                if self._check_known(
                    domain_path, domain, domain_names, "failure domain"
                ) and self._check_object(domain_path, values):
                    self._read_level(Scope(scope.service, name, domain), domain_path, values)

    def _read_level(self, scope: Scope, path: tuple[str, ...], content: dict) -> None:
        structural_names = _STRUCTURAL_NAMES[scope.level]
        for name, value in content.items():
            if name in structural_names:
                continue
            section = SECTIONS.get(name)
            member_path = (*path, name)
            if section is None:
                self._add_unknown(member_path, name, (*SECTIONS, *structural_names))
            elif scope.level not in section.levels:
                levels = " or ".join(level.name.lower() for level in section.levels)
                self._add_problem(member_path, f"may be stated at the {levels} level only")
            elif self._check_object(member_path, value):
                self._read_section(scope, member_path, section.model, value)

    def _read_section(
        self, scope: Scope, path: tuple[str, ...], model: type, content: dict
    ) -> None:
        fields = _field_types(model)
        for name, value in content.items():
            if name not in fields:
                self._add_unknown((*path, name), name, fields)
                continue
            converted = self._convert((*path, name), value, fields[name], None)
            self.statements.setdefault(scope, {})[f"{path[-1]}.{name}"] = converted

    def _named_members(
        self, path: tuple[str, ...], content: object
    ) -> Iterator[tuple[str, object]]:
        if not self._check_object(path, content):
            return
        for name, value in content.items():
            try:
                msgspec.convert(name, Name)
            except msgspec.ValidationError:
                rule = "allowed: 1 to 63 of a-z, 0-9 and -, not starting with -"
                self._add_problem((*path, name), f"not a valid name; {rule}")
            else:
                yield name, value

    def _convert(
        self, path: tuple[str, ...], value: object, expected_type: object, default: object
    ):
        try:
            return msgspec.convert(value, expected_type)
        except msgspec.ValidationError as error:
            self._add_problem(path, f"{error}; allowed: {allowed_values(expected_type)}")
            return default

    def _check_object(self, path: tuple[str, ...], value: object) -> bool:
        if isinstance(value, dict):
            return True
        self._add_problem(path, "must be an object in braces")
        return False

    def _check_known(self, path: tuple[str, ...], name: str, known, kind: str) -> bool:
        if name in known:
            return True
        self._add_problem(path, f"no {kind} of that name under the platform's regions", name, known)
        return False

    def _add_unknown(self, path: tuple[str, ...], name: str, known) -> None:
        if self._ignore_unknown:
            self.ignored.append(".".join(path))
        else:
            self._add_problem(path, "unknown name", name, known)

    def _add_problem(self, path: tuple[str, ...], message: str, name: str = "", known=()) -> None:
        problem = Problem(path, message + (known_names_hint(name, known) if name else ""))
        if problem not in self.problems:
            self.problems.append(problem)


@lru_cache(maxsize=32)
def _field_types(model: type) -> dict[str, object]:
    return {field.name: field.type for field in msgspec.structs.fields(model)}
