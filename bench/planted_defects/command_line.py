"""Planted defects of the command line."""

from bench.planted_defects.defect import PlantedDefect

NAMES = "tests/cli/test_names.py"
ADMIN = "tests/cli/test_admin_commands.py"

DEFECTS = [
    PlantedDefect(
        path="stepknot/cli/group.py",
        original="return super().get_command(ctx, self.earlier_names.get(cmd_name, cmd_name))",
        replacement="return super().get_command(ctx, cmd_name)",
        tests=(f"{NAMES}::test_earlier_command_name_runs_the_same_command",),
    ),
    PlantedDefect(
        path="stepknot/cli/group.py",
        original="self.opts = [*shown, *self.earlier]",
        replacement="self.opts = [*shown]",
        tests=(f"{NAMES}::test_earlier_option_name_means_the_same",),
    ),
    PlantedDefect(
        path="stepknot/cli/group.py",
        original="            self.opts = shown\n",
        replacement="            pass\n",
        tests=(f"{NAMES}::test_earlier_option_name_is_hidden",),
    ),
    PlantedDefect(
        path="stepknot/cli/admin_commands.py",
        original='unwell = answer["isolated"] or answer["stepped_aside"]',
        replacement='unwell = answer["isolated"]',
        tests=(f"{ADMIN}::test_members_ends_with_1_where_the_broker_is_isolated",),
    ),
    PlantedDefect(
        path="stepknot/cli/admin_commands.py",
        original="CONFLICT = 409",
        replacement="CONFLICT = 500",
        tests=(f"{ADMIN}::test_drain_ends_with_1_where_the_order_is_rejected",),
    ),
    PlantedDefect(
        path="stepknot/cli/admin_commands.py",
        original="healthy = voting and all(row.owner for row in view.jobs)",
        replacement="healthy = voting",
        tests=(f"{ADMIN}::test_leases_ends_with_1_without_a_holder_or_a_vote",),
    ),
    PlantedDefect(
        path="stepknot/cli/admin_commands.py",
        original="OperatorOrder(self.pause, self.resume, self.undo, drain)",
        replacement="OperatorOrder(self.resume, self.pause, self.undo, drain)",
        tests=(f"{ADMIN}::test_drain_posts_the_order",),
    ),
]
