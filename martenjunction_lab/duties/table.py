"""Prints what the policies of ordering engines come to under each load."""

from martenjunction_lab.duties import market
from martenjunction_lab.duties import market_loads


def main() -> None:
    """Plays each load under each policy and prints a table."""
    names = list(market.policies)
    print("load", *names, sep=" | ")
    for load in market_loads.loads:
        cells = []
        for name in names:
            found = market.play(market_loads.loads.get(load)(), name)
            cells.append(
                f"cost {found.cost:.0f}, late {found.late_part:.3f}, "
                f"orders {found.orders}"
            )
        print(load, *cells, sep=" | ")


if __name__ == "__main__":
    main()
