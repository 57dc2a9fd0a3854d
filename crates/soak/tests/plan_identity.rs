//! Checks that the plan of a seed stays the same from version to version: documentation and reports refer to plans by seed.

use shaletide_soak::plan::{Plan, Scale};
use std::fmt::Write;
use std::time::Duration;

/// The default scale of `shaletide-soak`.
const DEFAULT_SCALE: Scale = Scale { proxies: 12, backends: 10, length: Duration::from_secs(12), faults: 4 };

/// Returns a plan as text, one step per line, with times to the nanosecond.
fn text(plan: &Plan) -> String {
    let Plan { kinds, wall_clock_at_start, polls_discovery, settings, steps } = plan;
    let mut text = format!(
        "kinds {kinds:?}\nwall clock {wall_clock_at_start} s\nasks discovery {polls_discovery}\n{settings:#?}\n"
    );
    for timed in steps {
        writeln!(text, "{:?} {:?}", timed.at, timed.step).expect("a string takes all");
    }
    text
}

/// The recorded plans were drawn by the code before it was split into modules.
#[test]
fn plan_of_recorded_seed_is_unchanged() {
    let recorded = [
        (1, include_str!("plans/seed-1.txt")),
        (507, include_str!("plans/seed-507.txt")),
        (91007, include_str!("plans/seed-91007.txt")),
    ];
    for (seed, recorded) in recorded {
        let plan = text(&Plan::draw(seed, &DEFAULT_SCALE, &[]));
        assert_eq!(plan, recorded, "seed {seed}");
    }
}
