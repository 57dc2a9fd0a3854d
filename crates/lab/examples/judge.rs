//! Judges a run from its samples: reads JSON lines from standard input, prints the report, and writes the page to the
//! file named, if one is.
//!
//! `cargo run -p shaletide-lab --example judge -- page.html < samples.jsonl`

use shaletide_lab::{judge, report, samples};
use std::process::ExitCode;

fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let samples = samples::read(std::io::stdin().lock())?;
    let verdict = judge::judge(&samples, &[]);
    print!("{}", report::text(&verdict));
    if let Some(page) = std::env::args_os().nth(1) {
        std::fs::write(page, report::html(&verdict))?;
    }
    Ok(ExitCode::from(verdict.exit_code()))
}
