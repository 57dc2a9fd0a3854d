//! What the program says of the compiler's flags that it was built with. The tests are built with the same.

mod harness;

use harness::*;

/// How the line on the flag begins that has the event loop wake itself through a pipe.
const FLAG_IS_MISSING: &str = "built without `--cfg mio_unsupported_force_waker_pipe`";

/// Guards against a usual build without the flag, in which a signal can end the program as its event loop wakes itself.
#[test]
fn usual_build_has_the_flag_of_the_wake_up_pipe() {
    let has_flag = cfg!(mio_unsupported_force_waker_pipe);
    assert!(has_flag, "RUSTFLAGS in the environment replace the flags of .cargo/config.toml");
}

/// Guards against a build without the flag that says nothing of it, and against a warning in one that has it.
#[test]
fn start_warns_of_the_wake_up_only_in_a_build_without_the_flag() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    let lines = proxy.log.since(0);
    let warnings = lines.iter().filter(|line| line.contains("WARN") && line.contains(FLAG_IS_MISSING));
    let expected = usize::from(!cfg!(mio_unsupported_force_waker_pipe));
    assert_eq!(warnings.count(), expected, "{}", lines.join("\n"));
}
