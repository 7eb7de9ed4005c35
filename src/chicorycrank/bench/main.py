"""``chicorycrank-bench``: command line of the benchmarks."""

from cleo.application import Application

from chicorycrank.bench.control_cost import ControlCostCommand
from chicorycrank.bench.decision import DecisionCommand
from chicorycrank.bench.generations import GenerationsCommand
from chicorycrank.bench.node_cost import NodeCostCommand
from chicorycrank.bench.placement import PlacementCommand
from chicorycrank.bench.routing import RoutingCommand


def make_application() -> Application:
    """Return the application with all commands."""
    application = Application("chicorycrank-bench")
    application.add(PlacementCommand())
    application.add(DecisionCommand())
    application.add(NodeCostCommand())
    application.add(RoutingCommand())
    application.add(ControlCostCommand())
    application.add(GenerationsCommand())
    return application


def main() -> None:
    """Run the command line."""
    make_application().run()


if __name__ == "__main__":
    main()
