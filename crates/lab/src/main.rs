//! The lab's command line.
#![forbid(unsafe_code)]

mod cli;

use clap::Parser;
use cli::{Cli, Command, With};
use shaletide_lab::experiment::{Experiment, MAX_FILE};
use shaletide_lab::judge::{judge, Verdict};
use shaletide_lab::run::{run, Options};
use shaletide_lab::samples::{self, Sample};
use shaletide_lab::{fleet, own};
use std::fs;
use std::io::{BufReader, BufWriter, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The exit status where a file or the command line makes no sense.
const SENSELESS: u8 = 2;
/// The exit status of a run that says nothing.
const VOID: u8 = 3;

/// Why the lab ends without a verdict: what to say, and its exit status.
type Failure = (String, u8);

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Guard { command } => return fleet::guard::run(&command),
        Command::Run { file, with, out } => run_one(&file, &with, out),
        Command::Check { file } => check(&file),
        Command::List => {
            list();
            Ok(0)
        }
        Command::Repeat { file, seeds, with } => repeat(&file, seeds, &with),
        Command::Compare { first, second, by, pairs, with } => {
            compare([&first, &second], by.as_deref(), pairs, &with)
        }
        Command::Report { dir } => report(&dir),
    };
    match done {
        Ok(status) => ExitCode::from(status),
        Err((why, status)) => {
            eprintln!("shaletide-lab: {}", why.trim_end());
            ExitCode::from(status)
        }
    }
}

fn senseless(why: impl ToString) -> Failure {
    (why.to_string(), SENSELESS)
}

/// An experiment with the text that it was read from.
struct Asked {
    experiment: Experiment,
    text: String,
}

/// Reads a file, or one of the lab's own where no file is of that name.
fn read(file: &Path) -> Result<Asked, Failure> {
    let shown = file.display().to_string();
    let text = match (fs::File::open(file), own::text(&shown)) {
        (Err(_), Some(text)) => text.to_string(),
        (opened, _) => {
            let mut text = String::new();
            let read = opened.and_then(|f| f.take(MAX_FILE as u64 + 1).read_to_string(&mut text));
            read.map_err(|e| senseless(format!("cannot read {shown}: {e}; `shaletide-lab list` names the lab's own")))?;
            text
        }
    };
    let experiment = Experiment::read(&shown, &text).map_err(senseless)?;
    Ok(Asked { experiment, text })
}

fn check(file: &Path) -> Result<u8, Failure> {
    let asked = read(file)?;
    let e = &asked.experiment;
    println!(
        "{}: {} proxies, {} boxes, {} steps, {} expectations, {} s",
        e.name,
        e.fleet.proxies,
        e.boxes.count,
        e.steps.len(),
        e.expect.len(),
        e.length.as_secs_f64()
    );
    Ok(0)
}

fn list() {
    for (name, text) in own::EXPERIMENTS {
        if let Ok(experiment) = Experiment::read(name, text) {
            println!("{name:28} {}", experiment.about);
        }
    }
}

/// Set when the lab is told to end: SIGINT or SIGTERM.
fn stop_flag() -> Result<Arc<AtomicBool>, Failure> {
    use tokio::signal::unix::{signal, SignalKind};
    let stop = Arc::new(AtomicBool::new(false));
    let set = stop.clone();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| (format!("no event loop: {e}"), VOID))?;
    let guard = runtime.enter();
    let signals = signal(SignalKind::interrupt()).and_then(|i| Ok((i, signal(SignalKind::terminate())?)));
    let (mut interrupt, mut terminate) = signals.map_err(|e| (format!("no signals: {e}"), VOID))?;
    drop(guard);
    std::thread::spawn(move || {
        runtime.block_on(async {
            tokio::select! {
                _ = interrupt.recv() => {}
                _ = terminate.recv() => {}
            }
        });
        set.store(true, Ordering::Relaxed);
    });
    Ok(stop)
}

fn options(with: &With, file: &Path, out: Option<PathBuf>, stop: &Arc<AtomicBool>) -> Result<Options, Failure> {
    let lab = std::env::current_exe().map_err(|e| (format!("the lab's own program is not known: {e}"), VOID))?;
    let seed = with.seed.map(|seed| format!(" --seed {seed}")).unwrap_or_default();
    let command = format!("shaletide-lab run {}{seed} --program {}", file.display(), with.program.display());
    let (program, quiet, stop) = (with.program.clone(), with.quiet, stop.clone());
    Ok(Options { lab, program, seed: with.seed, out, command, quiet, stop })
}

fn sampled(asked: &Asked, options: &Options) -> Result<Vec<Sample>, Failure> {
    run(&asked.experiment, options).map_err(|e| {
        let senseless = matches!(e, shaletide_lab::run::RunError::NoProgram(_));
        (shaletide_base::causes(&e), if senseless { SENSELESS } else { VOID })
    })
}

fn run_one(file: &Path, with: &With, out: Option<PathBuf>) -> Result<u8, Failure> {
    let (asked, stop) = (read(file)?, stop_flag()?);
    let options = options(with, file, out.clone(), &stop)?;
    let samples = sampled(&asked, &options)?;
    let verdict = judge(&samples, &asked.experiment.expect);
    if let Some(dir) = out {
        keep(&dir, &asked.text, &samples, &verdict).map_err(|e| (format!("{}: {e}", dir.display()), VOID))?;
    }
    show(&verdict, &samples);
    Ok(verdict.exit_code())
}

fn keep(dir: &Path, text: &str, samples: &[Sample], verdict: &Verdict) -> Result<(), String> {
    fs::create_dir_all(dir).map_err(|e| e.to_string())?;
    fs::write(dir.join("experiment.toml"), text).map_err(|e| e.to_string())?;
    let file = fs::File::create(dir.join("samples.jsonl")).map_err(|e| e.to_string())?;
    samples::write(BufWriter::new(file), samples).map_err(|e| shaletide_base::causes(&e))?;
    page(dir, samples, verdict)
}
