//! `shaletide explore`: checks the engine in small worlds, with every order of events under any policy.

use crate::cli::Explore;
use shaletide_model_checker::*;
use std::process::ExitCode;
use std::time::Duration;

/// The exit status if a rule is broken.
const RULE_BROKEN_STATUS: u8 = 1;
/// The exit status if a limit was reached before the whole state space was explored.
const INCOMPLETE_STATUS: u8 = 3;

/// Explores one world, or all named worlds, and prints a row for each.
///
/// # Errors
/// No world has the given name.
pub fn explore(args: &Explore) -> Result<ExitCode, String> {
    if let Some(count) = args.restarts {
        return Ok(explore_restarts(count, Duration::from_secs(args.seconds)));
    }
    let worlds = worlds(args)?;
    println!("{TABLE_HEADER}");
    let mut status = 0;
    let mut cover = Coverage::default();
    for world in &worlds {
        let limits = Limits {
            time: Duration::from_secs(args.seconds),
            threads: usize::from(args.threads),
            cover: args.cover,
            ..Limits::default()
        };
        let result = shaletide_model_checker::explore(world, limits);
        println!("{}", table_row(world, &result));
        cover.add(&result.cover);
        if let Some(counterexample) = &result.counterexample {
            println!("\n{}\n", timeline(world, &|| Node::start(world), counterexample));
            status = RULE_BROKEN_STATUS;
        } else if !result.exhausted && status == 0 {
            status = INCOMPLETE_STATUS;
        }
    }
    if args.cover {
        print!("\n{cover}");
    }
    Ok(ExitCode::from(status))
}

/// Explores restarts with one attempt for each request; the tests cover further attempts.
fn explore_restarts(count: u8, time: Duration) -> ExitCode {
    let bounds = RestartBounds { restarts: count, attempts: 1, ..RestartBounds::default() };
    let result = explore_restart_model(&bounds, time);
    println!(
        "restarts {count}: {} states, {} transitions, depth {}, {:.1} s, exhausted: {}",
        result.states,
        result.transitions,
        result.depth,
        result.took.as_secs_f64(),
        if result.exhausted { "yes" } else { "no" }
    );
    let Some((steps, rule)) = result.counterexample else {
        return ExitCode::from(if result.exhausted { 0 } else { INCOMPLETE_STATUS });
    };
    for (number, step) in steps.iter().enumerate() {
        println!("{:>3}.  {step:?}", number + 1);
    }
    println!("broken: {rule}");
    ExitCode::from(RULE_BROKEN_STATUS)
}

fn worlds(args: &Explore) -> Result<Vec<Model>, String> {
    match args.world.as_deref() {
        None => {
            let sizes = [args.boxes, args.requests, args.pools].map(usize::from);
            let world = base_model(sizes[0], sizes[1], args.drains, sizes[2] as u32);
            Ok(vec![Model { max_in_flight: world.max_in_flight_per_request * sizes[1], ..world }])
        }
        Some("all") => Ok(MODELS.iter().filter_map(|(name, _)| model_by_name(name)).collect()),
        Some(name) => model_by_name(name).map(|world| vec![world]).ok_or_else(|| {
            let known = MODELS.iter().map(|(name, about)| format!("\n  {name:<13} {about}"));
            format!("there is no world {name:?}; there is \"all\", and{}", known.collect::<String>())
        }),
    }
}
