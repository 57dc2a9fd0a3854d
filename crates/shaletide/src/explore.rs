//! `shaletide explore`: the engine in small worlds, every order of events under any policy.

use crate::cli::Explore;
use shaletide_model_checker::*;
use std::process::ExitCode;
use std::time::Duration;

/// The exit status where a rule is broken.
const BROKEN: u8 = 1;
/// The exit status where a limit was hit before all was looked at.
const LEFT: u8 = 3;

/// Explores one world, or all those that have a name, and prints a row for each.
///
/// # Errors
/// There is no world of that name.
pub fn explore(asked: &Explore) -> Result<ExitCode, String> {
    if let Some(count) = asked.restarts {
        return Ok(killed(count, Duration::from_secs(asked.seconds)));
    }
    let worlds = worlds(asked)?;
    println!("{HEAD}");
    let mut status = 0;
    let mut cover = Cover::default();
    for world in &worlds {
        let limits = Limits {
            time: Duration::from_secs(asked.seconds),
            threads: usize::from(asked.threads),
            cover: asked.cover,
            ..Limits::default()
        };
        let found = shaletide_model_checker::explore(world, limits);
        println!("{}", row(world, &found));
        cover.add(&found.cover);
        if let Some(broken) = &found.counterexample {
            println!("\n{}\n", timeline(world, &|| Node::start(world), broken));
            status = BROKEN;
        } else if !found.exhausted && status == 0 {
            status = LEFT;
        }
    }
    if asked.cover {
        print!("\n{cover}");
    }
    Ok(ExitCode::from(status))
}

/// One attempt a request: what further ones add is a world of the tests.
fn killed(count: u8, time: Duration) -> ExitCode {
    let bounds = Restarts { restarts: count, attempts: 1, ..Restarts::default() };
    let found = restarts(&bounds, time);
    println!(
        "restarts {count}: {} states, {} transitions, depth {}, {:.1} s, exhausted: {}",
        found.states,
        found.transitions,
        found.depth,
        found.took.as_secs_f64(),
        if found.exhausted { "yes" } else { "no" }
    );
    let Some((way, rule)) = found.counterexample else {
        return ExitCode::from(if found.exhausted { 0 } else { LEFT });
    };
    for (at, step) in way.iter().enumerate() {
        println!("{:>3}.  {step:?}", at + 1);
    }
    println!("broken: {rule}");
    ExitCode::from(BROKEN)
}

fn worlds(asked: &Explore) -> Result<Vec<World>, String> {
    match asked.world.as_deref() {
        None => {
            let sizes = [asked.boxes, asked.requests, asked.pools].map(usize::from);
            let world = base(sizes[0], sizes[1], asked.drains, sizes[2] as u32);
            Ok(vec![World { out_all: world.out_each * sizes[1], ..world }])
        }
        Some("all") => Ok(WORLDS.iter().filter_map(|(name, _)| named(name)).collect()),
        Some(name) => named(name).map(|world| vec![world]).ok_or_else(|| {
            let known = WORLDS.iter().map(|(name, about)| format!("\n  {name:<13} {about}"));
            format!("there is no world {name:?}; there is \"all\", and{}", known.collect::<String>())
        }),
    }
}
