//! The program: the files that it writes, the files that it leaves unchanged, and its exit status for invalid arguments.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Returns an empty folder for one test.
fn fresh_folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Creates companion files with arbitrary content.
fn companions(folder: &Path) -> PathBuf {
    let companions = folder.join("companions");
    fs::create_dir_all(&companions).unwrap();
    for name in ["wire.json", "real.json", "unlock.txt"] {
        fs::write(companions.join(name), format!("content of {name}")).unwrap();
    }
    companions
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_shaletide-deployments")).args(arguments).output().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn path_text(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn writes_site_files_and_companions_and_prints_their_paths() {
    let folder = fresh_folder("writes");
    let (out, companions) = (folder.join("new/out"), companions(&folder));
    let output = run(&[
        "--seed",
        "4",
        "--count",
        "2",
        "--out",
        path_text(&out),
        "--companions",
        path_text(&companions),
    ]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let paths = [out.join("site-4-01.toml"), out.join("site-4-02.toml")];
    let printed = String::from_utf8(output.stdout).unwrap();
    assert_eq!(printed.lines().collect::<Vec<_>>(), [path_text(&paths[0]), path_text(&paths[1])]);
    assert!(paths.iter().all(|path| fs::read_to_string(path).unwrap().starts_with("name = \"site-4-0")));
    assert_eq!(fs::read_to_string(out.join("unlock.txt")).unwrap(), "content of unlock.txt");
    assert_eq!(fs::read_dir(&out).unwrap().count(), 5);
}

#[test]
fn second_run_into_the_same_folder_leaves_equal_files() {
    let folder = fresh_folder("second");
    let (out, companions) = (folder.join("out"), companions(&folder));
    let arguments = ["--count", "1", "--out", path_text(&out), "--companions", path_text(&companions)];
    assert_eq!(run(&arguments).status.code(), Some(0));
    let written = fs::read(out.join("site-1-01.toml")).unwrap();
    assert_eq!(run(&arguments).status.code(), Some(0));
    assert_eq!(fs::read(out.join("site-1-01.toml")).unwrap(), written);
}

#[test]
fn file_with_other_content_is_not_overwritten() {
    let folder = fresh_folder("other");
    let (out, companions) = (folder.join("out"), companions(&folder));
    fs::create_dir_all(&out).unwrap();
    let edited = out.join("site-1-01.toml");
    fs::write(&edited, "name = \"mine\"").unwrap();
    let output = run(&["--count", "1", "--out", path_text(&out), "--companions", path_text(&companions)]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains(&format!("{} exists with other content", path_text(&edited))));
    assert_eq!(fs::read_to_string(&edited).unwrap(), "name = \"mine\"");
}

#[test]
fn all_invalid_arguments_are_reported_together_with_status_2() {
    let folder = fresh_folder("invalid");
    let file = folder.join("file");
    fs::write(&file, "").unwrap();
    let absent = folder.join("absent");
    let output =
        run(&["--seed", "-1", "--count", "0", "--out", path_text(&file), "--companions", path_text(&absent)]);
    assert_eq!(output.status.code(), Some(2));
    let expected = [
        "--seed: expected a whole number from 0 to 2^64 - 1, found \"-1\"".to_string(),
        "--count: expected a whole number from 1 to 1000, found \"0\"".to_string(),
        format!("--out: expected a folder or an unused name, found the file {}", path_text(&file)),
        format!("--companions: missing file {}", path_text(&absent.join("wire.json"))),
        format!("--companions: missing file {}", path_text(&absent.join("real.json"))),
        format!("--companions: missing file {}", path_text(&absent.join("unlock.txt"))),
    ]
    .map(|line| format!("shaletide-deployments: {line}\n"))
    .concat();
    assert_eq!(stderr(&output), expected);
    assert!(!absent.exists());
}

#[test]
fn invalid_count_or_seed_has_status_2_and_writes_nothing() {
    let folder = fresh_folder("range");
    let (out, companions) = (folder.join("out"), companions(&folder));
    for (name, value) in [
        ("--count", "1001"),
        ("--count", "twelve"),
        ("--count", "1.5"),
        ("--count", ""),
        ("--seed", "18446744073709551616"),
        ("--seed", "one"),
    ] {
        let output = run(&[name, value, "--out", path_text(&out), "--companions", path_text(&companions)]);
        assert_eq!(output.status.code(), Some(2), "{name} {value}");
        assert!(stderr(&output).contains(&format!("{name}: expected a whole number")), "{name} {value}");
        assert!(!out.exists());
    }
}

#[test]
fn missing_out_or_unknown_option_has_status_2() {
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(run(&["--out", "x", "--colour", "red"]).status.code(), Some(2));
}
