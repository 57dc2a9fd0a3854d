//! Connects balancers to the simulator by its line protocol on standard input and output, with one
//! [`shaletide_balancer::Balancer`] per instance. The adapter only translates; all decisions are the balancer's.
#![forbid(unsafe_code)]

mod error;
mod instance;
mod line;
mod list_entry;
mod messages;
mod simulation;

use simulation::{Progress, Simulation};
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = std::io::stdin().lock();
    let output = std::io::stdout().lock();
    match run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("shaletide-adapter: {text}");
            ExitCode::FAILURE
        }
    }
}

/// Handles lines until the input ends. The text of an error has the line number.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut simulation = Simulation::default();
    let mut line = String::new();
    let mut number = 0u64;
    let mut replies = Vec::new();
    loop {
        line.clear();
        number += 1;
        let read = input.read_line(&mut line).map_err(|error| format!("line {number}: {error}"))?;
        if read == 0 {
            return Ok(());
        }
        let progress = simulation.handle(line.trim_end(), &mut replies);
        let progress = progress.map_err(|error| format!("line {number}: {error}"))?;
        if progress == Progress::BatchDone {
            let sent = output.write_all(&replies).and_then(|()| output.flush());
            sent.map_err(|error| format!("reply after line {number}: {error}"))?;
            replies.clear();
        }
    }
}
