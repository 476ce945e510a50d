"""Explains how a described request would be routed."""

import dataclasses
from typing import Any

from martenjunction import errors
from martenjunction.callers import chat
from martenjunction.callers import service as caller_service
from martenjunction.config import fleet
from martenjunction.decisions import classification
from martenjunction.decisions import policies


def explain(
    question: dict[str, Any],
    config: fleet.FleetConfig,
    callers: caller_service.CallerService,
) -> dict[str, Any]:
    """Returns how a described request would be routed, and why.

    Args:
        question: Description of the request: workspace, model, kind, tokens
            and labels.
        config: The active configuration.
        callers: The service that classifies requests.

    Returns:
        Class, zones, service, endpoints and reasons; or only an error, if the
        request would be refused.
    """
    name = str(question.get("workspace", ""))
    workspace = config.workspace.get(name)
    if workspace is None:
        return {"error": f"there is no workspace {name!r}"}
    facts = _facts(name, question)
    try:
        result = callers.classify(workspace, facts)
    except errors.CallerError as error:
        return {"error": str(error)}
    return _answer(result, facts.model, config)


def _facts(workspace: str, question: dict[str, Any]) -> policies.RequestFacts:
    return policies.RequestFacts(
        workspace=workspace,
        kind=str(question.get("kind", chat.DEFAULT_KIND)),
        model=str(question.get("model", "")),
        prompt_tokens=int(question.get("prompt_tokens", 1)),
        max_tokens=int(question.get("max_tokens", 0)),
        default_class="",
        labels=dict(question.get("labels", {})),
    )


def _answer(
    result: classification.Classification, model: str, config: fleet.FleetConfig
) -> dict[str, Any]:
    service = config.service_for_model(model) or config.service.get(model)
    endpoints = config.endpoints_of(service.name) if service else []
    return {
        "class": dataclasses.asdict(result.service_class),
        "reasons": list(result.reasons),
        "zones": list(result.zones),
        "service": service.name if service else None,
        "endpoints": [endpoint.name for endpoint in endpoints],
    }
