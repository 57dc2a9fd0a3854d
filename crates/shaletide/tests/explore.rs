//! `shaletide explore` as a process: the rows that it prints and its exit status.

use std::process::{Command, Output};

/// A limit on the address space, in KiB: enough for the program, but not for a thread with a stack of [`LARGE_STACK`].
const ADDRESS_SPACE_KIB: u32 = 524_288;
/// The stack size of a thread, in bytes.
const LARGE_STACK: &str = "1073741824";

fn explore(args: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shaletide"));
    let Output { status, stdout, stderr } = command.arg("explore").args(args).output().expect("the program");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (status.code(), text(stdout), text(stderr))
}

#[test]
fn exhausted_world_prints_row_and_exits_0() {
    let (code, out, _) = explore(&["--world", "race"]);
    assert_eq!(code, Some(0));
    let row = out.lines().last().expect("a row");
    assert!(row.starts_with("| race | 1 box, 1 request (free 3t)"), "{row}");
    assert!(row.contains("| 225 | 3,800 |") && row.ends_with("| yes |"), "{row}");
}

#[test]
fn exceeded_limit_is_reported_and_exits_3() {
    let (code, out, _) = explore(&["--boxes", "2", "--requests", "4", "--seconds", "0"]);
    assert_eq!(code, Some(3));
    assert!(out.trim_end().ends_with("| no: a limit was hit |"), "{out}");
}

#[test]
fn unknown_world_lists_known_ones_and_exits_2() {
    let (code, _, err) = explore(&["--world", "flat"]);
    assert_eq!(code, Some(2));
    assert!(err.contains("there is no world \"flat\"") && err.contains("late-connect"), "{err}");
}

#[test]
fn coverage_lists_transitions_met_and_not_met() {
    let (code, out, _) = explore(&["--world", "race", "--cover"]);
    assert_eq!(code, Some(0));
    assert!(out.contains("Up at Open/Opening -> Open/Writing, Open/Ended"), "{out}");
    assert!(out.contains("not met (the shell: the last byte goes once): Written at Open/Written"), "{out}");
}

/// Guards against a panic when the system cannot create a thread for the search.
#[test]
fn world_is_explored_without_threads() {
    let (_, expected, _) = explore(&["--world", "race"]);
    let limited = format!("ulimit -S -v {ADDRESS_SPACE_KIB}; exec \"$0\" explore --world race");
    let mut command = Command::new("sh");
    command.args(["-c", &limited, env!("CARGO_BIN_EXE_shaletide")]).env("RUST_MIN_STACK", LARGE_STACK);
    let Output { status, stdout, stderr } = command.output().expect("the program");
    assert_eq!(status.code(), Some(0), "{}", String::from_utf8_lossy(&stderr));
    let counts = |text: &str| text.lines().last().map(|row| row.split('|').take(5).collect::<String>());
    assert_eq!(counts(&String::from_utf8_lossy(&stdout)), counts(&expected));
}
