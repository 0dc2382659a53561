"""Planted defects of simulation."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/simulation/ports.py",
        original="    _reservations.append(stream)",
        replacement="    stream.close()",
        tests=(
            "tests/simulation/test_ports.py::test_two_runs_that_draw_the_same_ports_reserve_different_ones",
        ),
    ),
    PlantedDefect(
        path="stepknot/simulation/subset_cost.py",
        original='random.Random(f"{seed} queries of {number}")',
        replacement="random.Random()",
        tests=(
            "tests/simulation/test_subset_cost.py::test_a_seed_gives_the_same_run_and_another_seed_another",
        ),
    ),
    PlantedDefect(
        path="stepknot/simulation/subset_cost.py",
        original='random.Random(f"{seed} queries of {number}")',
        replacement='random.Random(f"{seed} queries of {number} {world.variant}")',
        tests=(
            "tests/simulation/test_subset_cost.py::test_all_lists_get_the_same_queries_with_the_same_work",
        ),
    ),
    PlantedDefect(
        path="stepknot/simulation/subset_cost.py",
        original="if able >= 1.0:",
        replacement="if True:",
        tests=(
            "tests/simulation/test_subset_cost.py::test_a_cold_node_that_gets_more_than_it_bears_falls_and_one_that_gets_less_does_not",
        ),
    ),
    PlantedDefect(
        path="stepknot/simulation/subset_cost.py",
        original="self.after(DETECTION, self.tell, nodes, ServerState.GONE)",
        replacement="pass",
        tests=(
            "tests/simulation/test_subset_cost.py::test_a_lost_zone_is_told_of_and_comes_back_cold_on_every_list",
        ),
    ),
    PlantedDefect(
        path="stepknot/simulation/subset_cost.py",
        original="self.world.at(warm_at, self.choose)",
        replacement="pass",
        tests=(
            "tests/simulation/test_subset_cost.py::test_a_lost_zone_is_told_of_and_comes_back_cold_on_every_list",
        ),
    ),
]
