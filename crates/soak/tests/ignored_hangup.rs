//! Checks the soak when SIGHUP is ignored by the process that starts it, as with `nohup`.

use std::process::Command;

/// Guards against runs that cannot find ends by SIGHUP because every process under test has inherited that it is ignored.
#[test]
fn soak_refuses_to_run_if_hangup_is_ignored() {
    let mut command = Command::new("env");
    command.args(["--ignore-signal=HUP", env!("CARGO_BIN_EXE_shaletide-soak")]);
    let output = command.args(["--proxies", "1", "--seconds", "0.5"]).output().unwrap();
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(message.contains("SIGHUP is ignored or blocked here"), "{message}");
}
