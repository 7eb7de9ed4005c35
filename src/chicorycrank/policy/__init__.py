"""Pure decision functions: packing, placement, guarantees, fairness and routing."""
