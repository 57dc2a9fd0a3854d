//! Builds the earlier commit with which figures are compared, in its own directory.

use super::PROGRAM_PATH;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The last commit before pools were introduced.
const BEFORE_POOLS: &str = "c0fcdb8";

/// A build of the program.
#[derive(Clone, Debug)]
pub struct Version {
    pub name: String,
    pub path: PathBuf,
}

/// Returns the current program, then the earlier one if it can be built.
pub fn versions() -> Vec<Version> {
    let commit = std::env::var("SHALETIDE_AGAINST").unwrap_or(BEFORE_POOLS.into());
    let now = Version { name: "now".into(), path: PROGRAM_PATH.into() };
    if Path::new(&commit).is_file() {
        return vec![now, Version { name: "other".into(), path: commit.into() }];
    }
    match built(&commit) {
        Some(path) => vec![now, Version { name: commit, path }],
        None => {
            println!("not measured: {commit} cannot be built here\n");
            vec![now]
        }
    }
}

fn built(commit: &str) -> Option<PathBuf> {
    let home = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let at = home.join("target/measure").join(commit);
    let program = at.join("target/release/shaletide");
    if program.is_file() {
        return Some(program);
    }
    std::fs::create_dir_all(&at).ok()?;
    let mut archive = Command::new("git");
    archive.arg("-C").arg(&home).args(["archive", commit]).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut archive = archive.spawn().ok()?;
    let out = archive.stdout.take()?;
    let unpacked = Command::new("tar").arg("-x").arg("-C").arg(&at).stdin(out).status().ok()?.success();
    if !(archive.wait().ok()?.success() && unpacked) {
        return None;
    }
    // The checkout is inside this workspace's directory, but is not a member of the workspace.
    let manifest = at.join("Cargo.toml");
    let mut text = std::fs::read_to_string(&manifest).ok()?;
    if !text.contains("[workspace]") {
        text += "\n[workspace]\n";
        std::fs::write(&manifest, text).ok()?;
    }
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or("cargo".into()));
    cargo.args(["build", "--release", "--locked", "--bin", "shaletide"]).current_dir(&at);
    cargo.env("CARGO_TARGET_DIR", at.join("target")).stdout(Stdio::null());
    (cargo.status().ok()?.success() && program.is_file()).then_some(program)
}
