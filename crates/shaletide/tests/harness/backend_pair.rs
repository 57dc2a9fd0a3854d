//! A pair of backends of which one drains, and the discovery's answers until a list is applied.

use super::*;
use std::sync::mpsc;

/// Answers calls with this list until the proxy makes a long poll from the list's version on, and returns that call.
pub fn answer_until_polled(
    discovery: &DiscoveryServer, index: u64, body: &str,
) -> (String, mpsc::Sender<(u16, String)>) {
    loop {
        let (target, answer) = discovery.next_call();
        if target.contains(&format!("after={index}&")) && !target.contains("wait_ms=0 ") {
            return (target, answer);
        }
        let _ = answer.send((200, body.to_string()));
    }
}

/// Two backends. The old one drains and still answers, so that requests sent to it after a snapshot without it are counted.
pub struct BackendPair {
    pub old: BackendServer,
    pub new: BackendServer,
}

impl BackendPair {
    pub fn start() -> BackendPair {
        BackendPair {
            old: BackendServer::start(|_| ok_reply("old")),
            new: BackendServer::start(|_| ok_reply("new")),
        }
    }
    pub fn serving_entries(&self) -> [String; 2] {
        [endpoint_json("b0", self.old.address, "SERVING"), endpoint_json("b1", self.new.address, "SERVING")]
    }
    /// Returns the entries of a snapshot without the draining backend.
    pub fn entries_without_old(&self) -> [String; 1] {
        [endpoint_json("b1", self.new.address, "SERVING")]
    }
    pub fn assert_only_new_is_used(&self, proxy: &RunningProgram, case: &str) {
        let before = self.old.request_count();
        for _ in 0..10 {
            assert_eq!(proxy.request(&pay_request(3.0)).body, b"new", "{case}");
        }
        assert_eq!(self.old.request_count(), before, "{case}");
    }
    /// Returns the entry of the old backend before it drains.
    pub fn old_entry(&self) -> [String; 1] {
        [endpoint_json("b0", self.old.address, "SERVING")]
    }
    /// Returns the changes by which the old backend drains and the new one appears.
    pub fn changes(&self) -> [String; 2] {
        [endpoint_json("b0", self.old.address, "DRAINING"), endpoint_json("b1", self.new.address, "SERVING")]
    }
}
