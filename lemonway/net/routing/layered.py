"""A node's settings: its own settings file with the resources of the control group on top. The cost of a change depends
on the size of the change, not on the size of the table.

Request classes and limits are few: a change to one rebuilds the settings, without the tenants. Tenants are many: their
list and the index by name are shared with the core and the front ends, and are changed in place between two steps of
the admission policy. A tenant keeps its index as long as it exists; a freed index is reused."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from ...control.resources import Delete, Key, Operation, Put, Table
from ...interface import RequestClass, Settings, Tenant
from ...settings import merge_settings
from .resources import build_settings, flatten_file, read_class, read_limit, read_tenant

CheckSettings = Callable[[Settings, list[int]], None]


@dataclass
class _StagedChange:
    """A change that was decoded but is not in force yet."""

    classes: dict[str, RequestClass] | None = None  # all classes of the control group, if one changes
    limits: dict[str, str] | None = None  # all limits, if one changes
    tenants: dict[str, Tenant | None] = field(default_factory=dict)  # those that change; None: removed
    settings: Settings | None = None  # if a class or a limit changes
    active_class_indexes: list[int] = field(default_factory=list)


class LayeredSettings:
    """What is in force: ``settings``; ``active_class_indexes``, of the request classes in force; and
    ``tenant_indexes``, the index of each tenant by its encoded name."""

    def __init__(
        self, raw_settings: dict[str, Any], file_settings: Settings, previous: LayeredSettings | None = None
    ) -> None:
        """``raw_settings`` and ``file_settings``: the settings of the node's file, as JSON objects and as parsed.
        ``previous``: what was in force so far in this process; its classes and tenants keep their indexes. Raises
        ``ValueError``."""
        self.file_classes = {request_class.name: request_class for request_class in file_settings.request_classes}
        self.file_tenants = {tenant.name: tenant for tenant in file_settings.tenants}
        self.file_values = flatten_file(raw_settings)
        self.classes: dict[str, RequestClass] = {}
        self.limits: dict[str, str] = {}
        self.tenant_indexes: dict[bytes, int] = {}
        self._free_indexes = deque[int]()
        if previous is None:
            self.settings, self.active_class_indexes = (
                replace(file_settings, tenants=list(file_settings.tenants)),
                list(range(len(file_settings.request_classes))),
            )
        else:
            self.settings, self.active_class_indexes = merge_settings(previous.settings, file_settings)
            self.tenant_indexes, self._free_indexes = dict(previous.tenant_indexes), previous._free_indexes.copy()
        names = [tenant.name.encode() for tenant in self.settings.tenants]
        self.tenant_indexes |= {name: index for index, name in enumerate(names) if name.decode() in self.file_tenants}

    def apply_table(self, table: Table, check: CheckSettings) -> None:
        """Applies a whole table on top of the node's file; tenants of earlier tables that it lacks are removed. Raises
        ``ValueError``."""
        removed = [
            name
            for name in map(bytes.decode, self.tenant_indexes)
            if name not in self.file_tenants and table.get("tenant", name) is None
        ]
        self.apply([*(Delete("tenant", name) for name in removed), *table.resources()], check)

    def apply(self, operations: Iterable[Operation], check: CheckSettings) -> bool:
        """Applies a change, all of it or nothing. ``check`` raises ``ValueError`` for settings that the node cannot
        apply. Returns whether ``settings`` and ``active_class_indexes`` were replaced because a class or limit
        changed. Raises ``ValueError``."""
        staged = self._stage(operations)
        if staged.classes is not None or staged.limits is not None:
            self._build(staged)
            assert staged.settings is not None
            check(staged.settings, staged.active_class_indexes)
        self._commit(staged)
        return staged.settings is not None

    def _stage(self, operations: Iterable[Operation]) -> _StagedChange:
        staged = _StagedChange()
        for operation in operations:
            if operation.kind == "tenant":
                staged.tenants[operation.name] = (
                    read_tenant(operation) if isinstance(operation, Put) else self.file_tenants.get(operation.name)
                )
            elif operation.kind == "class":
                if staged.classes is None:
                    staged.classes = dict(self.classes)
                staged.classes.pop(operation.name, None)
                if isinstance(operation, Put):
                    file_class = self.file_classes.get(operation.name)
                    staged.classes[operation.name] = read_class(operation, file_class)
            elif operation.kind == "limit":
                if staged.limits is None:
                    staged.limits = dict(self.limits)
                staged.limits.pop(operation.name, None)
                if isinstance(operation, Put):
                    staged.limits[operation.name] = read_limit(operation)
        return staged

    def _build(self, staged: _StagedChange) -> None:
        classes = self.file_classes | (self.classes if staged.classes is None else staged.classes)
        limits = self.limits if staged.limits is None else staged.limits
        rebuilt = build_settings(self.file_values | limits, list(classes.values()))
        settings, staged.active_class_indexes = merge_settings(replace(self.settings, tenants=[]), rebuilt)
        staged.settings = replace(settings, tenants=self.settings.tenants)

    def _commit(self, staged: _StagedChange) -> None:
        if staged.classes is not None:
            self.classes = staged.classes
        if staged.limits is not None:
            self.limits = staged.limits
        if staged.settings is not None:
            self.settings, self.active_class_indexes = staged.settings, staged.active_class_indexes
        for name, tenant in staged.tenants.items():
            self._set_tenant(name, tenant)

    def _set_tenant(self, name: str, tenant: Tenant | None) -> None:
        tenants, wire_name = self.settings.tenants, name.encode()
        index = self.tenant_indexes.get(wire_name)
        if tenant is None:
            if index is not None:
                del self.tenant_indexes[wire_name]
                tenants[index] = Tenant()  # requests in flight still use the index: it has no quota
                self._free_indexes.append(index)
        elif index is not None:
            tenants[index] = tenant
        elif self._free_indexes:
            self.tenant_indexes[wire_name] = index = self._free_indexes.popleft()
            tenants[index] = tenant
        else:
            self.tenant_indexes[wire_name] = len(tenants)
            tenants.append(tenant)


def diff_table(old: dict[Key, bytes], new: Table) -> list[Operation]:
    """Returns the operations that turn the entries ``old`` into the table ``new``. Values are compared undecoded."""
    changes: list[Operation] = [Delete(*key) for key in old if key not in new.entries]
    changes += [Put(*key, value) for key, value in new.entries.items() if old.get(key) != value]
    return changes
