//! Starts with an incomplete configuration: on the platform the program waits until it is complete.

mod harness;

use harness::start::*;
use harness::*;
use std::path::PathBuf;

/// Part of the log line that the program writes while it has no configuration.
const WAIT_LOG_LINE: &str = "no configuration yet";

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("shaletide-{}-{name}.json", std::process::id()))
}

#[test]
fn waits_for_a_configuration_that_is_absent_empty_or_cut_short() {
    let parts = [
        ("absent", None, "No such file"),
        ("empty", Some(0), "EOF"),
        ("cut", Some(1), "line 1"),
        ("cut", Some(200), "EOF"),
    ];
    for (name, part, cause) in parts {
        let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
        let (path, text) = (path(name), platform_configuration(&discovery, &listener));
        if let Some(part) = part {
            std::fs::write(&path, &text[..part]).unwrap();
        }
        let mut proxy = program().spawn_with_config(listener.address(), &path);
        let logged = proxy.log.wait(0, |line| line.contains(WAIT_LOG_LINE));
        assert!(proxy.child.try_wait().unwrap().is_none(), "{name}: it ended without a configuration");
        let (_, logged) = logged.expect("a log line on the wait");
        assert!(logged.contains(cause) && logged.contains(&path.display().to_string()), "{logged}");
        std::fs::write(&path, &text).unwrap();
        assert!(proxy.wait_ready().is_some(), "{name}");
        proxy.signal("TERM");
        assert!(proxy.child.wait().unwrap().success(), "{name}");
    }
}

/// SIGTERM and SIGINT end the program while it waits; SIGHUP does not.
#[test]
fn handles_signals_while_it_waits_for_its_configuration() {
    for signal in ["TERM", "INT"] {
        let path = path("never");
        let mut proxy = program().spawn_with_config(RefusingPort::new().address(), &path);
        proxy.log.expect(0, WAIT_LOG_LINE);
        proxy.signal("HUP");
        proxy.log.expect(proxy.log.len(), WAIT_LOG_LINE);
        proxy.signal(signal);
        assert_eq!(proxy.child.wait().unwrap().code(), Some(0), "{signal}");
    }
}

/// The exit status shows the kind of error even if standard error has no reader.
#[test]
fn exit_status_is_the_same_where_standard_error_has_no_reader() {
    let (ours, theirs) = std::os::unix::net::UnixStream::pair().unwrap();
    drop(ours);
    let mut command = program_command(Some("{}"));
    command.stderr(std::os::fd::OwnedFd::from(theirs));
    assert_eq!(command.status().unwrap().code(), Some(2));
}

/// Guards against a start that does not become ready and whose log names none of its steps (brink seed 44003).
#[test]
fn log_names_each_step_of_a_start_with_its_time_in_order() {
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let path = path("steps");
    std::fs::write(&path, platform_configuration(&discovery, &listener)).unwrap();
    let mut proxy = program().spawn_with_config(listener.address(), &path);
    assert!(proxy.wait_ready().is_some());
    let steps = [
        "start: event loop built after ",
        "start: first reading of the configuration ended after ",
        "start: signals received after ",
        "start: parts started after ",
        "start: the first readiness probe was answered: ready",
    ];
    let mut from = 0;
    for step in steps {
        let (at, line) = proxy.log.wait(from, |line| line.contains(step)).expect(step);
        assert!(line.ends_with(" ms") || step.ends_with("ready"), "{line}");
        from = at + 1;
    }
    assert_eq!(proxy.log.since(0).iter().filter(|line| line.contains("first readiness probe")).count(), 1);
}
