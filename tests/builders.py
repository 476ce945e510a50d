"""Builders for test data."""

from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import dispatcher


def ask(
    request_id: str = "r1", **changes: object
) -> dispatch_types.SlotRequest:
    """Returns a request of the highest tier that arrived at time 0."""
    values: dict[str, object] = {
        "request_id": request_id,
        "entry": "box-1",
        "tier": 1,
        "class_name": "quote",
        "workspace": "agents",
        "arrived": 0.0,
        "target": 1.0,
        "patience": 1000.0,
        "prompt_tokens": 100,
        "expected_tokens": 50.0,
    }
    values.update(changes)
    return dispatch_types.SlotRequest(**values)  # type: ignore[arg-type]


def cell(
    endpoints: int = 1,
    slots: int = 1,
    settings: dispatcher.DispatchSettings | None = None,
) -> dispatcher.Dispatcher:
    """Returns a dispatcher whose endpoints have reported their load."""
    dispatcher_under_test = dispatcher.Dispatcher(
        settings or dispatcher.DispatchSettings()
    )
    for number in range(1, endpoints + 1):
        name = f"e{number}"
        dispatcher_under_test.set_endpoint(name, slots, 0.0)
        dispatcher_under_test.report(
            dispatch_types.LoadReport(name, 0.0, 0, 0), 0.0
        )
    return dispatcher_under_test


def end(
    request_id: str,
    ending: dispatch_types.Ending = dispatch_types.Ending.COMPLETE,
) -> dispatch_types.RunEnd:
    """Returns the end of a run."""
    return dispatch_types.RunEnd(request_id, ending, 0.05, 10, 0.03)
