//! Checks the start of the program while the disk of its store of record fails.

mod rig;

use rig::*;
use shaletide_soak::call_faults::CallFault;
use std::time::{Duration, Instant};

/// Returns a configuration with an idempotent and a non-idempotent class, one backend, and a store of record in `folder`.
fn file(folder: &Folder, backend: &BackendServer) -> String {
    let store = folder.path().join("record.db");
    format!(
        "[[class]]\nname = \"read\"\ndeadline = \"3s\"\naim = \"900ms\"\n\
         [[class]]\nname = \"pay\"\neffect = \"unsafe\"\ndeadline = \"3s\"\naim = \"900ms\"\n\
         [record]\npath = {:?}\nwait = \"200ms\"\n\
         [[pool]]\nname = \"p\"\nboxes = [{{ address = \"{}\", bay = \"a\" }}]\n",
        store.display().to_string(),
        backend.address
    )
}

fn keyed_pay(key: &str) -> String {
    format!(
        "POST /pay/1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {key}\r\nX-Time-Left: 3.0\r\nIdempotency-Key: {key}\r\n\
         Content-Length: 4\r\n\r\ncash"
    )
}

/// Sends the key until it is served; until then it may only be rejected.
fn retry_until_served(proxy: &ServingProgram, key: &str) {
    let begun = Instant::now();
    while proxy.request(&keyed_pay(key)).status() != 200 {
        assert!(begun.elapsed() < WAIT_LIMIT, "{key} is not served");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn starts_while_disk_fails(fault: CallFault) {
    let folder = Folder::new();
    let (program, control) = faulty(&folder, Some(folder.path()));
    let backend = BackendServer::start(|_| ok_reply("done"));
    let text = file(&folder, &backend);
    let first = program.serve(&text);
    retry_until_served(&first, "before");
    drop(first); // killed

    control.set(fault, 1.0).expect("the control file");
    let proxy = program.serve(&text);
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200, "{fault:?}: what needs no record is served");
    let rejected = proxy.request(&keyed_pay("during"));
    assert_eq!(rejected.status(), 503, "{fault:?}");
    assert!(rejected.header("retry-after").is_some(), "{fault:?}");
    let sent_before = backend.request_count();
    control.clear().expect("the control file");
    retry_until_served(&proxy, "during");
    assert_eq!(backend.request_count(), sent_before + 1, "{fault:?}: sent once");
    assert_eq!(proxy.request(&keyed_pay("before")).status(), 409, "{fault:?}: known from before the failure");
}

#[test]
fn unrecorded_class_is_served_when_disk_fails_at_start() {
    for fault in [CallFault::DiskSync, CallFault::DiskWrite, CallFault::DiskRead, CallFault::DiskOpen] {
        starts_while_disk_fails(fault);
    }
}

/// A file that is not a store, or a folder that does not exist, is an error at the start.
#[test]
fn start_fails_when_store_is_invalid_or_its_folder_is_missing() {
    let folder = Folder::new();
    let backend = BackendServer::start(|_| ok_reply("done"));
    let (program, _control) = faulty(&folder, Some(folder.path()));
    std::fs::write(folder.path().join("record.db"), vec![b'x'; 8192]).expect("a file");
    let config = folder.path().join("operator.toml");
    let refusing = RefusingPort::new();
    let text = format!("[[listener]]\naddress = \"{}\"\n{}", refusing.address(), file(&folder, &backend));
    for text in [text.clone(), text.replace("record.db", "no/record.db")] {
        std::fs::write(&config, text).expect("a file");
        let mut command = program.command(None);
        let output = command.args(["serve", "--config"]).arg(&config).output().expect("the program");
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{message}");
        assert!(message.contains("store of record"), "{message}");
    }
}
