//! The arguments.

use clap::{Args, Parser, Subcommand};
use std::ffi::OsString;
use std::path::PathBuf;

/// Many real processes of the program on loopback, faults between them, and a measured account of what clients got.
///
/// Status 0: all that was expected came true; 1: something did not; 2: a file or the command line makes no sense; 3: the
/// run says nothing.
#[derive(Debug, Parser)]
#[command(name = "shaletide-lab", version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an experiment, judge it and show what came of it.
    Run {
        /// The experiment's file, or the name of one of the lab's own.
        file: PathBuf,
        #[command(flatten)]
        with: With,
        /// Keep samples, the report and each process's directory in this folder.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Say all that is wrong with an experiment's file: status 0 where nothing is, 2 where something is.
    Check {
        /// The experiment's file.
        file: PathBuf,
    },
    /// Name the lab's own experiments.
    List,
    /// Run an experiment with so many seeds, one after the other, and put the figures together.
    Repeat {
        /// The experiment's file, or the name of one of the lab's own.
        file: PathBuf,
        /// How many seeds, from the experiment's own on.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=100))]
        seeds: u32,
        #[command(flatten)]
        with: With,
    },
    /// Run two programs by one experiment, or one program by two experiments, in turns and with the same seeds.
    Compare {
        /// The first program or experiment.
        first: PathBuf,
        /// The second.
        second: PathBuf,
        /// The experiment by which two programs are run.
        #[arg(long, value_name = "FILE")]
        by: Option<PathBuf>,
        /// How many pairs.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=50))]
        pairs: u32,
        #[command(flatten)]
        with: With,
    },
    /// Judge a kept run once more and write its page.
    Report {
        /// The folder that `run --out` filled.
        dir: PathBuf,
    },
    /// Stand between the lab and one process; started by the lab alone.
    #[command(hide = true)]
    Guard {
        /// The command to guard.
        #[arg(last = true, required = true)]
        command: Vec<OsString>,
    },
}

/// How experiments are run.
#[derive(Args, Clone, Debug)]
pub struct With {
    /// In place of the experiment's seed.
    #[arg(long)]
    pub seed: Option<u64>,
    /// The program that is run.
    #[arg(long, value_name = "PROGRAM", default_value = "target/release/shaletide")]
    pub program: PathBuf,
    /// Say nothing of how it goes on.
    #[arg(long)]
    pub quiet: bool,
}
