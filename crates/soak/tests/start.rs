//! Checks the start of the program during a temporary shortage of system resources.

mod rig;

use rig::*;
use shaletide_soak::call_faults::CallFault;
use std::time::Duration;

/// The first sockets cannot be created (ENFILE, ENOBUFS, ENOMEM), bound (EADDRINUSE, EADDRNOTAVAIL) or listened on
/// (EADDRINUSE): the program retries until the calls succeed, and then serves.
#[test]
fn program_serves_once_its_listening_calls_succeed() {
    [CallFault::Socket, CallFault::Bind, CallFault::Listen].into_iter().for_each(serves_after);
}

fn serves_after(fault: CallFault) {
    let folder = Folder::new();
    let (program, control) = faulty(&folder, None);
    let backend = BackendServer::start(|_| ok_reply("done"));
    let known = vec![endpoint_json("b0", backend.address, "SERVING")];
    control.set(fault, 1.0).expect("the control file");
    std::thread::scope(|scope| {
        let started = scope.spawn(|| program.start(&known));
        while control.count(fault).expect("the control file") < 3 && !started.is_finished() {
            std::thread::sleep(Duration::from_millis(5));
        }
        control.clear().expect("the control file");
        let proxy = started.join().expect("the program serves");
        assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
    });
}
