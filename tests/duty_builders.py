"""Builders of boxes that perform duties, for end-to-end tests."""

from martenjunction.platform import box_settings
from martenjunction_lab import boxes
from tests import routing_builders as builders

WINDOW_S = 1.0
SCALING = {
    "min": 1,
    "max": 4,
    "boot_s": 0.5,
    "spot_price": 0.15,
    "zone_prices": {"zone-a": 1.0, "zone-b": 0.8, "zone-c": 1.2},
}


def duty_settings(
    address: str, *kinds: box_settings.Duty
) -> box_settings.DutySettings:
    """Returns settings with short windows and a short lease."""
    return box_settings.DutySettings(
        address=address,
        kinds=frozenset(kinds),
        no_return_s=0.5,
        window_s=WINDOW_S,
        usage_due_s=5.0,
    )


async def start(
    *kinds: box_settings.Duty, number: int = 3, scaled: bool = False
) -> boxes.Boxes:
    """Starts boxes with duties before a store that takes their calls."""
    made = boxes.Boxes()
    config = builders.relaxed_config_document()
    if scaled:
        config["services"][1]["scaling"] = SCALING
    await made.start(config, boxes=0)
    duties = duty_settings(made.store.address, *kinds)
    for index in range(number):
        seeds = tuple(box.members.own.peers for box in made.gateways)
        await made.add_box(f"box-{index}", duties=duties, seeds=seeds)
    return made
