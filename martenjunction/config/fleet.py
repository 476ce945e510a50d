"""The fleet configuration: services, endpoints, classes and policies."""

import dataclasses
import enum
from typing import Annotated
from typing import Any

import pydantic

from martenjunction import errors
from martenjunction import registry
from martenjunction.config import ini
from martenjunction.config import programs
from martenjunction.config import references
from martenjunction.config import units

FORBID = pydantic.ConfigDict(extra="forbid")

# Section types of a configuration file, and object types of the platform, by
# name.
section_kinds: registry.Registry[type[Any]] = registry.Registry("section")

ANY_KIND = "*"

# Prefix of the keys of configuration objects in the platform.
KEY_PREFIX = "config/"

# FleetConfig attributes whose names differ from those of their sections.
_ATTRIBUTES = {"class": "classes"}


class ServiceKind(enum.StrEnum):
    """The type of a service's endpoints."""

    ENGINE = "engine"
    PLAIN = "plain"


class CellSpan(enum.StrEnum):
    """The area from which a cell may take its endpoints."""

    REGION = "region"
    ZONE = "zone"


@section_kinds.register("service")
@dataclasses.dataclass(frozen=True)
class Service:
    """A group of interchangeable endpoints.

    Attributes:
        name: The name that callers use for a plain service.
        kind: `engine` for a model engine, `plain` for any other service.
        models: Names that callers may give as `model`.
        span: `region` while a region has no more endpoints of the service
            than one cell can hold, which is about 24; `zone` beyond that.
        cells: Cells in each region or availability zone.
    """

    __pydantic_config__ = FORBID

    name: str
    kind: ServiceKind = ServiceKind.ENGINE
    models: units.Words = ()
    span: CellSpan = CellSpan.REGION
    cells: Annotated[int, pydantic.Field(ge=1, le=64)] = 1


@section_kinds.register("endpoint")
@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An engine or server that processes requests.

    Attributes:
        name: Its name.
        service: The service it belongs to.
        zone: Its availability zone.
        address: IP number and port of its HTTP server.
        slots: Requests it may run at once.
        checks_orders: Whether it checks the fence of an order.
    """

    __pydantic_config__ = FORBID

    name: str
    service: str
    zone: str
    address: units.Address
    slots: Annotated[int, pydantic.Field(ge=1, le=4096)] = 8
    checks_orders: bool = False


@section_kinds.register("class")
@dataclasses.dataclass(frozen=True)
class ServiceClass:
    """Service objectives and limits for a class of requests.

    Attributes:
        name: Its name.
        tier: 1 is the highest, 4 the lowest.
        first_token: Target for the first token, in seconds.
        between_tokens: Target for the mean time between tokens, in seconds.
        patience: Longest wait, in seconds, that is worth it to the caller.
        time_limit: Longest time of a whole request, in seconds.
        stall: Longest silence of an endpoint, in seconds, before a
            repeatable request is tried elsewhere.
        repeatable: Whether a request may be sent to an endpoint twice.
        preemptible: Whether a run may be moved for a higher tier.
        unclaimed_in_outage: Whether a keyed request that may not be repeated
            runs while its claim cannot be written to the platform.
    """

    __pydantic_config__ = FORBID

    name: str
    tier: Annotated[int, pydantic.Field(ge=1, le=4)]
    first_token: units.Seconds
    between_tokens: units.Seconds = 0.07
    patience: units.Seconds = 20.0
    time_limit: units.Seconds = 300.0
    stall: units.Seconds = 5.0
    repeatable: bool = True
    preemptible: bool = True
    unclaimed_in_outage: bool = False


@section_kinds.register("workspace")
@dataclasses.dataclass(frozen=True)
class Workspace:
    """A workspace, which owns API keys.

    Attributes:
        name: Its name.
        key_hashes: SHA-256 of each of its keys, in hexadecimal.
        default_class: The class where no binding fits and no policy decides.
    """

    __pydantic_config__ = FORBID

    name: str
    key_hashes: units.Words
    default_class: str


@section_kinds.register("binding")
@dataclasses.dataclass(frozen=True)
class Binding:
    """Assigns a class to requests of one kind from a workspace.

    Attributes:
        name: Its name.
        workspace: The workspace.
        kind: The request kind; `*` for any.
        service_class: The class.
    """

    __pydantic_config__ = FORBID

    name: str
    workspace: str
    service_class: str
    kind: str = ANY_KIND


@section_kinds.register("policy")
@dataclasses.dataclass(frozen=True)
class Policy:
    """A Starlark program that classifies requests.

    Attributes:
        name: Its name.
        source: The Starlark text.
        workspaces: Workspaces it decides for; empty for all.
    """

    __pydantic_config__ = FORBID

    name: str
    source: units.Source
    workspaces: units.Words = ()


@dataclasses.dataclass(frozen=True)
class FleetConfig:
    """A complete snapshot of the active configuration.

    Each attribute maps names to one kind of section.
    """

    service: dict[str, Service] = dataclasses.field(default_factory=dict)
    endpoint: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    classes: dict[str, ServiceClass] = dataclasses.field(default_factory=dict)
    workspace: dict[str, Workspace] = dataclasses.field(default_factory=dict)
    binding: dict[str, Binding] = dataclasses.field(default_factory=dict)
    policy: dict[str, Policy] = dataclasses.field(default_factory=dict)

    def service_for_model(self, model: str) -> Service | None:
        """Returns the service that serves a model, or None."""
        for service in self.service.values():
            if model in service.models:
                return service
        return None

    def endpoints_of(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service."""
        return [e for e in self.endpoint.values() if e.service == service]


@dataclasses.dataclass(frozen=True)
class Document:
    """A section as it is stored in the platform.

    Attributes:
        kind: The kind of section.
        name: Its name.
        values: Key to text, as the operator wrote it.
    """

    kind: str
    name: str
    values: dict[str, str]

    @property
    def key(self) -> str:
        """The key of its object in the platform."""
        return _key(self.kind, self.name)


def _key(kind: str, name: str) -> str:
    """Returns the key of a section's object in the platform."""
    return f"{KEY_PREFIX}{kind}/{name}"


def _attribute(kind: str) -> str:
    """Returns the attribute of FleetConfig that holds a kind of section."""
    return _ATTRIBUTES.get(kind, kind)


def _table(config: FleetConfig, kind: str) -> dict[str, Any]:
    """Returns the sections of a kind by name."""
    table: dict[str, Any] = getattr(config, _attribute(kind))
    return table


def parse(section: ini.Section) -> tuple[Document, Any]:
    """Parses a section titled `kind name` into a document and its value.

    Raises:
        SettingsError: If the section is not valid.
    """
    kind, _, name = section.title.partition(" ")
    name = name.strip()
    if kind not in section_kinds:
        known = ", ".join(section_kinds)
        raise errors.SettingsError(
            f"unknown kind of section; known: {known}",
            section.file,
            section.title,
        )
    if not name or "/" in name:
        raise errors.SettingsError(
            "the title must be a kind and a name without a slash",
            section.file,
            section.title,
        )
    value = ini.validate(section_kinds.get(kind), section, name=name)
    return Document(kind, name, section.values), value


def parse_document(document: Document) -> Any:
    """Validates a document received from the platform or a peer.

    Raises:
        SettingsError: If it is not valid.
    """
    title = f"{document.kind} {document.name}"
    return parse(ini.Section("platform", title, document.values))[1]


def to_ini(documents: list[Document]) -> str:
    """Serializes documents to an INI file that `read` accepts."""
    lines = []
    for document in documents:
        lines.append(f"[{document.kind} {document.name}]")
        for key, value in document.values.items():
            text = units.add_margin(value) if "\n" in value else value
            lines.append(f"{key} = " + text.replace("\n", "\n    "))
        lines.append("")
    return "\n".join(lines)


def build(values: list[Any]) -> FleetConfig:
    """Builds a configuration from validated values."""
    config = FleetConfig()
    by_type = {section_kinds.get(kind): kind for kind in section_kinds}
    for value in values:
        kind = by_type[type(value)]
        _table(config, kind)[value.name] = value
    return config


def read(paths: list[str]) -> tuple[list[Document], FleetConfig]:
    """Reads configuration files and validates them as a whole.

    Raises:
        SettingsError: On the first error found.
    """
    documents: list[Document] = []
    values: list[Any] = []
    seen: dict[str, ini.Section] = {}
    for path in paths:
        for section in ini.read(path):
            document, value = parse(programs.inline_program(section))
            if document.key in seen:
                raise errors.SettingsError(
                    f"already defined in {seen[document.key].file}",
                    path,
                    section.title,
                )
            seen[document.key] = section
            documents.append(document)
            values.append(value)
    config = build(values)
    for reference in references.find_invalid_references(
        lambda k: _table(config, k)
    ):
        section = seen[_key(reference.kind, reference.name)]
        raise errors.SettingsError(
            reference.message, section.file, section.title, reference.field
        )
    return documents, config


def replace(config: FleetConfig, values: dict[str, Any]) -> FleetConfig:
    """Returns a copy of a configuration with some objects replaced.

    Only the tables of the kinds that changed are copied.

    Args:
        config: The configuration to copy.
        values: Validated values by object key; None removes an object.
    """
    tables: dict[str, dict[str, Any]] = {}
    for key, value in values.items():
        kind, _, name = key.removeprefix(KEY_PREFIX).partition("/")
        attribute = _attribute(kind)
        if attribute not in tables:
            tables[attribute] = dict(_table(config, kind))
        if value is None:
            tables[attribute].pop(name, None)
        else:
            tables[attribute][name] = value
    return dataclasses.replace(config, **tables)
