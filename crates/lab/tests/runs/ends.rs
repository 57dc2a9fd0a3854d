//! However the lab ends, nothing that it started is left.

use super::rig::*;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// No wait is meant to last as long.
const PATIENCE: Duration = Duration::from_secs(20);

/// A process by its number and the moment of its start, which no later one has as well.
type Who = (u32, String);

/// All processes: who, and the number of the parent.
fn all() -> Vec<(Who, u32)> {
    let entries = std::fs::read_dir("/proc").expect("/proc");
    let numbers = entries.filter_map(|e| e.ok()?.file_name().to_str()?.parse::<u32>().ok());
    let look = |pid: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let gone = fields[0] == "Z" || fields[0] == "X";
        (!gone).then(|| Some(((pid, fields[19].to_string()), fields[1].parse().ok()?)))?
    };
    numbers.filter_map(look).collect()
}

/// All that descend from a process.
fn family(of: u32) -> BTreeSet<Who> {
    let (all, mut family, mut parents) = (all(), BTreeSet::new(), BTreeSet::from([of]));
    loop {
        let found = all.iter().filter(|(who, parent)| parents.contains(parent) && !family.contains(who));
        let found: Vec<Who> = found.map(|(who, _)| who.clone()).collect();
        if found.is_empty() {
            return family;
        }
        parents.extend(found.iter().map(|who| who.0));
        family.extend(found);
    }
}

/// Which of these are still there after some patience.
fn left(family: &BTreeSet<Who>) -> Vec<Who> {
    let until = Instant::now() + PATIENCE;
    loop {
        let left: Vec<Who> =
            all().into_iter().map(|(who, _)| who).filter(|who| family.contains(who)).collect();
        if left.is_empty() || Instant::now() > until {
            return left;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The lab in the middle of a run of that text, and all that it has started.
fn midway(name: &str, text: &str) -> (Child, BTreeSet<Who>, [Temporary; 2]) {
    let (path, out) = (written(name, text), folder(name));
    let mut command = Command::new(LAB);
    command.args(["run", &path.text(), "--out", &out.text(), "--program"]).arg(program());
    let mut child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the lab");
    let mut said = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    assert!(said.any(|line| line.is_ok_and(|line| line.starts_with("  1 s"))), "it never got so far");
    std::thread::spawn(move || said.for_each(drop)); // it may go on talking
    let family = family(child.id());
    assert!(family.len() >= 6, "three guards and three processes: {family:?}");
    (child, family, [path, out])
}

#[test]
fn a_lab_that_is_killed_leaves_no_process_over() {
    let _turn = turn();
    // One of them stands still when it happens.
    let step = "[[at]]\nat = \"500ms\"\ndo = \"stop\"\nwho = \"p0\"\n";
    let (mut lab, family, _files) = midway("killed", &file(60, step, ""));
    lab.kill().expect("the signal");
    lab.wait().expect("its end");
    assert_eq!(left(&family), []);
}

#[test]
fn a_lab_that_is_interrupted_ends_all_and_says_that_the_run_is_void() {
    let _turn = turn();
    for signal in [Signal::INT, Signal::TERM] {
        let (mut lab, family, _files) = midway("interrupted", &file(60, "", ""));
        kill_process(Pid::from_child(&lab), signal).expect("the signal");
        assert_eq!(lab.wait().expect("its end").code(), Some(3));
        assert_eq!(left(&family), []);
    }
}

#[test]
fn a_guard_that_is_killed_takes_its_process_with_it_and_the_run_sees_that() {
    let _turn = turn();
    let (mut lab, family, _files) = midway("guard", &file(60, "", ""));
    let direct = all().into_iter().find(|(_, parent)| *parent == lab.id()).expect("a guard").0;
    let below = self::family(direct.0);
    let guard = Pid::from_raw(direct.0 as i32).expect("a number");
    kill_process(guard, Signal::KILL).expect("the signal");
    assert_eq!(left(&below), [], "the lab kills what the guard left");
    kill_process(Pid::from_child(&lab), Signal::INT).expect("the signal");
    lab.wait().expect("its end");
    assert_eq!(left(&family), []);
}
