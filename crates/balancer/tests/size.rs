//! The operators review the decision module file by file: each is bounded, names its concern first and is no wider than a
//! page.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Lines that are not empty, in any one file.
const MAX_LINES: usize = 400;
/// A file with fewer lines that are not empty is no concern of its own.
const MIN_LINES: usize = 20;
/// Characters in a line.
const MAX_WIDTH: usize = 120;
/// The surface of the crate, which holds no decisions; all other files are the decision module.
const SURFACE: [&str; 2] = ["lib.rs", "interface.rs"];

fn crate_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &str) -> String {
    std::fs::read_to_string(crate_folder().join(path)).unwrap()
}

/// Paths below `src`, as `balancer/timers.rs`.
fn files_of_the_decision_module() -> BTreeSet<String> {
    let source = crate_folder().join("src");
    let mut files = BTreeSet::new();
    collect_files(&source, &source, &mut files);
    files.retain(|file| !SURFACE.contains(&file.as_str()));
    files
}

fn collect_files(folder: &Path, source: &Path, files: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_files(&path, source, files);
        } else {
            files.insert(path.strip_prefix(source).unwrap().to_string_lossy().into_owned());
        }
    }
}

#[test]
fn decision_module_files_stay_within_review_budget() {
    for file in files_of_the_decision_module() {
        let text = read(&format!("src/{file}"));
        assert!(text.starts_with("//! "), "{file} names its concern first");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!((MIN_LINES..=MAX_LINES).contains(&lines), "{file}: {lines} lines");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_WIDTH, "{file}: line {} is too wide", number + 1);
        }
    }
    let first = read("src/balancer.rs");
    assert!(
        first.lines().take(3).any(|line| line.contains("crates/balancer/src/interface.rs")),
        "the interface is named first"
    );
}

#[test]
fn deploy_file_lists_whole_decision_module() {
    let deploy = read("../../deploy/balancer.toml");
    let policy = deploy.lines().find(|line| line.starts_with("policy = ")).unwrap();
    let listed: BTreeSet<String> = policy
        .split('"')
        .filter_map(|part| part.strip_prefix("crates/balancer/src/"))
        .map(str::to_string)
        .collect();
    assert_eq!(listed, files_of_the_decision_module());
}
