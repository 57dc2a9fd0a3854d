//! The program's warning on the compiler flags that it was built with. The tests are built with the same flags.

mod harness;

use harness::*;

/// Beginning of the warning that the program was built without the flag by which the event loop wakes itself through a
/// pipe.
const FLAG_IS_MISSING: &str = "built without `--cfg mio_unsupported_force_waker_pipe`";

/// Guards against a default build without the flag: a signal can end such a program while its event loop wakes itself.
#[test]
fn default_build_has_the_wake_up_pipe_flag() {
    let has_flag = cfg!(mio_unsupported_force_waker_pipe);
    assert!(has_flag, "RUSTFLAGS in the environment overrides the flags of .cargo/config.toml");
}

/// Guards against a missing warning in a build without the flag and a false one in a build with it.
#[test]
fn start_warns_only_in_a_build_without_the_wake_up_pipe_flag() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    let lines = proxy.log.since(0);
    let warnings = lines.iter().filter(|line| line.contains("WARN") && line.contains(FLAG_IS_MISSING));
    let expected = usize::from(!cfg!(mio_unsupported_force_waker_pipe));
    assert_eq!(warnings.count(), expected, "{}", lines.join("\n"));
}
