//! Limits on the files of the decision module, which operators review file by file: each has a bounded number of lines and
//! a bounded width, and starts with its purpose.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Maximum number of non-empty lines in a file.
const MAX_LINES: usize = 400;
/// Minimum number of non-empty lines in a file; a smaller one does not deserve a file of its own.
const MIN_LINES: usize = 20;
/// Maximum number of characters in a line.
const MAX_WIDTH: usize = 120;
/// The files of the crate's public interface, which contain no decisions; all others are the decision module.
const INTERFACE_FILES: [&str; 2] = ["lib.rs", "interface.rs"];

fn crate_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &str) -> String {
    std::fs::read_to_string(crate_folder().join(path)).unwrap()
}

/// Returns paths relative to `src`, such as `balancer/timers.rs`.
fn decision_module_files() -> BTreeSet<String> {
    let source = crate_folder().join("src");
    let mut files = BTreeSet::new();
    collect_files(&source, &source, &mut files);
    files.retain(|file| !INTERFACE_FILES.contains(&file.as_str()));
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
    for file in decision_module_files() {
        let text = read(&format!("src/{file}"));
        assert!(text.starts_with("//! "), "{file} does not start with its purpose");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!((MIN_LINES..=MAX_LINES).contains(&lines), "{file}: {lines} lines");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_WIDTH, "{file}: line {} is too wide", number + 1);
        }
    }
    let balancer_source = read("src/balancer.rs");
    assert!(
        balancer_source.lines().take(3).any(|line| line.contains("crates/balancer/src/interface.rs")),
        "balancer.rs does not name the interface in its first lines"
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
    assert_eq!(listed, decision_module_files());
}
