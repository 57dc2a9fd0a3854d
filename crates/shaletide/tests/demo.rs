//! `shaletide demo` as a process: its exit status and its output.

use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

fn demo(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shaletide"));
    command.arg("demo").args(arguments).env_remove("NODE_LOG").env_remove("NODE_CONFIG");
    command
}

#[test]
fn demo_holds_all_invariants_and_prints_report() {
    let output = demo(&["--seconds", "5", "--show-config"]).output().expect("the program");
    let (text, log) =
        (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr).to_string());
    assert_eq!(output.status.code(), Some(0), "{text}{log}");
    assert_eq!(log, "", "the log is empty");
    for part in [
        "[[listener]]",
        "the load begins",
        "fast-1 drains",
        "fast-3 fails",
        "fast-3 recovers",
        "fast-4 crashes",
        "fast-4 restarts cold",
        "Shares by kind, from 1.0 s to 2.5 s",
        "\n  fast      4 ",
        "\n  slow      4 ",
        "Answers by class",
        "\n  read   safe ",
        "\n  settle keyed ",
        "\n  pay    unsafe ",
        "\n  An unsafe request runs once ",
        "\n  A keyed one runs again in its bay only ",
        "\n  Nothing new to a box 2 s after it drains       fast-1: ",
        "\n  A cold box is not pushed over                  1 start, ",
        "\n  Each request gets one answer within its time ",
        "\nAll held.",
    ] {
        assert!(text.contains(part), "{part:?} is missing in:\n{text}");
    }
    assert_eq!(text.matches(" held\n").count(), 7, "{text}");
    assert!(text.lines().all(|line| line.chars().count() <= 100), "{text}");
}

#[test]
fn sigint_ends_demo_early_with_report() {
    let mut child = demo(&["--seconds", "120"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program");
    let mut output = BufReader::new(child.stdout.take().expect("the output"));
    let mut line = String::new();
    while !line.contains("the load begins") {
        line.clear();
        assert!(output.read_line(&mut line).expect("a line") > 0, "the program ended before the load began");
    }
    let status = Command::new("kill").args(["-s", "INT", &child.id().to_string()]).status().expect("kill");
    assert!(status.success());
    let mut text = String::new();
    output.read_to_string(&mut text).expect("the rest of the output");
    assert_eq!(child.wait().expect("the exit status").code(), Some(130), "{text}");
    assert!(text.contains("stopped: the load ends") && text.contains("All held until"), "{text}");
}

#[test]
fn seconds_out_of_range_are_rejected() {
    for seconds in ["4", "121", "soon"] {
        let output = demo(&["--seconds", seconds]).output().expect("the program");
        assert_eq!(output.status.code(), Some(2), "{seconds}");
    }
}
