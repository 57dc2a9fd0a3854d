//! The lab's command line.
#![forbid(unsafe_code)]

mod cli;

use clap::Parser;
use cli::{Cli, Command, With};
use shaletide_lab::compare::{compared, compared_text, repeated, repeated_text, Figures};
use shaletide_lab::experiment::{Experiment, MAX_FILE};
use shaletide_lab::judge::{judge, Ruling, Verdict};
use shaletide_lab::run::{run, Options};
use shaletide_lab::samples::{self, Sample};
use shaletide_lab::{builtin_experiments, fleet, report};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufReader, BufWriter, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The exit status for an invalid file or command line.
const SENSELESS: u8 = 2;
/// The exit status of a void run.
const VOID: u8 = 3;

/// Why the lab ends without a verdict: the message and the exit status.
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
        Command::Report { dir } => judge_again(&dir),
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

/// Reads a file, or a built-in experiment if there is no file of that name.
fn read(file: &Path) -> Result<Asked, Failure> {
    let shown = file.display().to_string();
    let text = match (fs::File::open(file), builtin_experiments::text(&shown)) {
        (Err(_), Some(text)) => text.to_string(),
        (opened, _) => {
            let mut text = String::new();
            let read = opened.and_then(|f| f.take(MAX_FILE as u64 + 1).read_to_string(&mut text));
            read.map_err(|e| {
                senseless(format!("cannot read {shown}: {e}; `shaletide-lab list` names the lab's own"))
            })?;
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
        "{}: {} proxies, {} backends, {} steps, {} expectations, {} s",
        e.name,
        e.fleet.proxies,
        e.backends.count,
        e.steps.len(),
        e.expect.len(),
        e.length.as_secs_f64()
    );
    Ok(0)
}

fn list() {
    for (name, text) in builtin_experiments::EXPERIMENTS {
        if let Ok(experiment) = Experiment::read(name, text) {
            println!("{name:28} {}", experiment.about);
        }
    }
}

/// Set on SIGINT and SIGTERM.
fn stop_flag() -> Result<Arc<AtomicBool>, Failure> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        let registered = signal_hook::flag::register(signal, stop.clone());
        registered.map_err(|e| (format!("no signals: {e}"), VOID))?;
    }
    Ok(stop)
}

fn options(
    with: &With, file: &Path, out: Option<PathBuf>, stop: &Arc<AtomicBool>,
) -> Result<Options, Failure> {
    let lab =
        std::env::current_exe().map_err(|e| (format!("the lab's own program is not known: {e}"), VOID))?;
    let seed = with.seed.map(|seed| format!(" --seed {seed}")).unwrap_or_default();
    let command = format!("shaletide-lab run {}{seed} --program {}", file.display(), with.program.display());
    let (program, quiet, stop) = (with.program.clone(), with.quiet, stop.clone());
    Ok(Options { lab, program, seed: with.seed, out, command, quiet, stop })
}

fn sampled(asked: &Asked, options: &Options) -> Result<Vec<Sample>, Failure> {
    run(&asked.experiment, options).map_err(|e| {
        let senseless = matches!(e, shaletide_lab::run::RunError::NoProgram(_));
        (shaletide_types::error_chain(&e), if senseless { SENSELESS } else { VOID })
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
    print!("{}", report::text(&verdict));
    Ok(verdict.exit_code())
}

fn keep(dir: &Path, text: &str, samples: &[Sample], verdict: &Verdict) -> Result<(), String> {
    fs::create_dir_all(dir).map_err(|e| e.to_string())?;
    fs::write(dir.join("experiment.toml"), text).map_err(|e| e.to_string())?;
    let file = fs::File::create(dir.join("samples.jsonl")).map_err(|e| e.to_string())?;
    samples::write(BufWriter::new(file), samples).map_err(|e| shaletide_types::error_chain(&e))?;
    for (proxy, text) in logs(samples) {
        let folder = dir.join(format!("p{proxy}"));
        let written = fs::create_dir_all(&folder).and_then(|()| fs::write(folder.join("log.txt"), text));
        written.map_err(|e| e.to_string())?;
    }
    page(dir, verdict)
}

/// What each proxy logged, a line with the second of the run in which it was read.
fn logs(samples: &[Sample]) -> BTreeMap<u32, String> {
    let mut logs: BTreeMap<u32, String> = BTreeMap::new();
    for sample in samples {
        if let Sample::Log { at_us, proxy, line } = sample {
            let text = logs.entry(*proxy).or_default();
            *text += &format!("{:9.3} {line}\n", *at_us as f64 / 1e6);
        }
    }
    logs
}

fn page(dir: &Path, verdict: &Verdict) -> Result<(), String> {
    fs::write(dir.join("report.html"), report::html(verdict)).map_err(|e| e.to_string())?;
    let json = serde_json::to_vec_pretty(verdict).map_err(|e| e.to_string())?;
    fs::write(dir.join("verdict.json"), json).map_err(|e| e.to_string())
}

fn repeat(file: &Path, seeds: u32, with: &With) -> Result<u8, Failure> {
    let (asked, stop) = (read(file)?, stop_flag()?);
    let first = with.seed.unwrap_or(asked.experiment.seed);
    let mut runs = Vec::new();
    for seed in first..first + u64::from(seeds) {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let with = With { seed: Some(seed), ..with.clone() };
        let verdict = judged(&asked, &options(&with, file, None, &stop)?)?;
        eprintln!("seed {seed}: {:?}", verdict.ruling);
        runs.push(Figures::of(&verdict));
    }
    print!("{}", repeated_text(&repeated(&runs)));
    Ok(worst(&runs))
}

/// The exit status of several runs: failed takes precedence over void.
fn worst(runs: &[Figures]) -> u8 {
    let any = |ruling: Ruling| runs.iter().any(|run| run.ruling == ruling);
    match () {
        () if any(Ruling::Failed) => 1,
        () if any(Ruling::Void) || runs.is_empty() => VOID,
        () => 0,
    }
}

fn judged(asked: &Asked, options: &Options) -> Result<Verdict, Failure> {
    let samples = sampled(asked, options)?;
    Ok(judge(&samples, &asked.experiment.expect))
}

/// Compares two programs with one experiment if `by` is given; else one program with two experiments.
fn compare(sides: [&Path; 2], by: Option<&Path>, pairs: u32, with: &With) -> Result<u8, Failure> {
    let stop = stop_flag()?;
    let mut variants = Vec::new();
    for side in sides {
        let file = by.unwrap_or(side);
        let program = if by.is_some() { side.to_path_buf() } else { with.program.clone() };
        variants.push((read(file)?, file, With { program, ..with.clone() }));
    }
    let first = with.seed.unwrap_or(variants[0].0.experiment.seed);
    let mut runs = [Vec::new(), Vec::new()];
    for pair in 0..pairs {
        let seed = first + u64::from(pair);
        // Alternating, each first as often as the other, so that drift of the machine favours neither.
        let order = if pair % 2 == 0 { [0, 1] } else { [1, 0] };
        for side in order {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let (asked, file, with) = &variants[side];
            let with = With { seed: Some(seed), ..with.clone() };
            let verdict = judged(asked, &options(&with, file, None, &stop)?)?;
            eprintln!("pair {}, {}: {:?}", pair + 1, sides[side].display(), verdict.ruling);
            runs[side].push(Figures::of(&verdict));
        }
    }
    print!("{}", compared_text(&compared(&runs[0], &runs[1])));
    Ok(if runs.iter().flatten().all(|run| run.ruling == Ruling::Void) { VOID } else { 0 })
}

fn judge_again(dir: &Path) -> Result<u8, Failure> {
    let asked = read(&dir.join("experiment.toml"))?;
    let path = dir.join("samples.jsonl");
    let file =
        fs::File::open(&path).map_err(|e| senseless(format!("cannot read {}: {e}", path.display())))?;
    let samples =
        samples::read(BufReader::new(file)).map_err(|e| senseless(shaletide_types::error_chain(&e)))?;
    let verdict = judge(&samples, &asked.experiment.expect);
    page(dir, &verdict).map_err(|e| (format!("{}: {e}", dir.display()), VOID))?;
    print!("{}", report::text(&verdict));
    Ok(verdict.exit_code())
}
