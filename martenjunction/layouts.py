"""Derives the layout of cells from the box list and the configuration."""

from martenjunction.cells import broker
from martenjunction.cells import directory
from martenjunction.cells import host
from martenjunction.config import store
from martenjunction.objects import model
from martenjunction.peers import membership


class LayoutKeeper:
    """Updates a daemon's cells when the box list or configuration changes."""

    def __init__(
        self,
        members: membership.Membership,
        config_store: store.ConfigStore,
        cells: host.CellHost,
        cell_broker: broker.Broker,
    ) -> None:
        """Initializes the keeper without any endpoints.

        Args:
            members: The membership, updated with the listed daemons.
            config_store: The active configuration.
            cells: The cells that this daemon owns.
            cell_broker: The broker that places requests with cells.
        """
        self._members = members
        self._store = config_store
        self._cells = cells
        self._broker = cell_broker
        self._layout = directory.Layout()
        self._infos: directory.Cells = {}
        self._applied_tables: tuple[object, object] = ({}, {})
        self._endpoint_states: dict[str, model.BoxState] = {}

    def on_listed(self, boxes: list[model.ListedBox]) -> None:
        """Applies a part of the platform's box list."""
        for box in boxes:
            if box.role is model.BoxRole.ENDPOINT:
                self._endpoint_states[box.name] = box.state
            else:
                self._list_daemon(box)
        self._apply_layout()

    def on_config_changed(self) -> None:
        """Applies the active configuration."""
        if self._is_outdated():
            self._apply_layout()

    def _list_daemon(self, box: model.ListedBox) -> None:
        self._members.update_listed(
            membership.Member(
                box.name, box.zone, box.callers, box.operators, box.peers
            ),
            live=box.state is not model.BoxState.GONE,
            leaving=box.state is model.BoxState.LEAVING,
        )

    def _apply_layout(self) -> None:
        config = self._store.config
        if self._is_outdated():
            self._applied_tables = (config.service, config.endpoint)
            self._infos = self._layout.update(config)
        leaving = frozenset(
            name
            for name, state in self._endpoint_states.items()
            if state is not model.BoxState.LIVE
        )
        self._cells.set_layout(self._infos, config.endpoint, leaving)
        self._broker.set_cells(self._infos)

    def _is_outdated(self) -> bool:
        # The store keeps the same object for an unchanged table.
        config = self._store.config
        services, endpoints = self._applied_tables
        return config.service is not services or (
            config.endpoint is not endpoints
        )
