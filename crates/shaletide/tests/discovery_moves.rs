//! Moves of discovery: what the previous discovery had at the move stays known to the proxy, also where the call that the
//! move dropped was silent.

mod harness;

use harness::backend_pair::{answer_until_polled, BackendPair};
use harness::*;
use std::time::{Duration, Instant};

/// The time after an answer in which the program applies it, or calls again because it came too late.
const ANSWER_WAIT: Duration = Duration::from_millis(200);
/// The log's line once the changes are applied.
const APPLIED: &str = "answered with list version 10";

/// Answers the first discovery's calls until its list, version 9, is applied, and returns the long poll that follows: it stays
/// unanswered.
fn apply_first_list(discovery: &DiscoveryServer, backends: &BackendPair) -> impl Sized {
    answer_until_polled(discovery, 9, &endpoint_list_json(9, true, &backends.old_entry()))
}

/// Answers the calls that do not wait until the program has logged that it applied the changes. On a busy machine a call may
/// time out before its answer, and the first one may have been made before the move.
fn answer_missed_changes(proxy: &RunningProgram, discovery: &DiscoveryServer, backends: &BackendPair) {
    let mut unanswered = Vec::new();
    while !is_logged_within(proxy, APPLIED, ANSWER_WAIT) {
        let (target, answer) = discovery.next_call();
        if target.contains("&wait_ms=0 ") {
            let _ = answer.send((200, endpoint_list_json(10, false, &backends.changes())));
        } else {
            unanswered.push(answer);
        }
    }
}

fn is_logged_within(proxy: &RunningProgram, text: &str, limit: Duration) -> bool {
    let start = Instant::now();
    while !has_logged(proxy, text) {
        if start.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    true
}

fn has_logged(proxy: &RunningProgram, text: &str) -> bool {
    proxy.log.since(0).iter().any(|line| line.contains(text))
}

fn move_to(proxy: &Proxy, discovery: &DiscoveryServer) {
    proxy.move_discovery(discovery.address);
    proxy.signal("HUP");
}

/// Guards against sending to a backend whose drain the previous discovery had before the move, on a watch that had fallen
/// silent: the move dropped that call, and the new discovery was down.
#[test]
fn drain_missed_by_a_silent_watch_is_fetched_from_the_previous_discovery() {
    let backends = BackendPair::start();
    let subscribe = SETTINGS.replace("\"automatic\"", "\"subscribe\"");
    for settings in [SETTINGS, &subscribe] {
        let proxy = Proxy::start_with_settings(&backends.old_entry(), 1024, settings);
        let _silent_watch = apply_first_list(&proxy.discovery, &backends);
        let new = DiscoveryServer::start();
        move_to(&proxy, &new);
        let _unanswered = new.next_call();
        answer_missed_changes(&proxy, &proxy.discovery, &backends);
        backends.assert_only_new_is_used(&proxy, "a draining backend gets nothing new");
    }
}

/// Guards against forgetting the discovery that sent the pool's list when the next one is moved from before it has answered.
#[test]
fn drain_is_fetched_from_the_last_discovery_that_sent_a_list_after_several_moves() {
    let backends = BackendPair::start();
    let proxy = Proxy::start(&backends.old_entry());
    let _silent_watch = apply_first_list(&proxy.discovery, &backends);
    let silent = [DiscoveryServer::start(), DiscoveryServer::start()];
    let mut unanswered = Vec::new();
    for discovery in &silent {
        move_to(&proxy, discovery);
        unanswered.push(discovery.next_call());
    }
    // The call of the first move is unanswered, too.
    unanswered.push(proxy.discovery.next_call());
    answer_missed_changes(&proxy, &proxy.discovery, &backends);
    backends.assert_only_new_is_used(&proxy, "a draining backend gets nothing new");
}

/// Guards against forgetting the previous discovery where the reload that moves discovery also changes the subscription's
/// settings, as an operators' file can.
#[test]
fn drain_is_fetched_from_the_previous_discovery_where_settings_change_with_the_move() {
    let backends = BackendPair::start();
    let (old, new) = (DiscoveryServer::start(), DiscoveryServer::start());
    let file = |discovery: &DiscoveryServer, grace: &str| {
        let rules = format!("[rules]\ndrain_grace = \"{grace}\"\ncold_from = 1.0\n");
        format!("{rules}{CLASSES}[[pool]]\nname = \"p\"\ndiscovery = \"{}\"\n", discovery.address)
    };
    let proxy = program().serve(&file(&old, "2s"));
    let _silent_watch = apply_first_list(&old, &backends);
    proxy.reload_accepted(&file(&new, "3s"));
    let _unanswered = new.next_call();
    answer_missed_changes(&proxy, &old, &backends);
    let before = backends.old.request_count();
    for _ in 0..8 {
        assert_eq!(proxy.request(&request("/pay/k", 3.0, "")).body, b"new");
    }
    assert_eq!(backends.old.request_count(), before);
}

/// The previous discovery's answer is older than the new discovery's list: it must not replace it.
#[test]
fn late_answer_of_the_previous_discovery_does_not_replace_the_new_list() {
    let backends = BackendPair::start();
    let proxy = Proxy::start(&backends.old_entry());
    let _silent_watch = apply_first_list(&proxy.discovery, &backends);
    let new = DiscoveryServer::start();
    move_to(&proxy, &new);
    let (_, late) = proxy.discovery.next_call();
    let mut pending = new.next_call();
    while !pending.0.contains("after=7&") {
        let _ = pending.1.send((200, endpoint_list_json(7, true, &backends.changes())));
        pending = new.next_call();
    }
    let _ = late.send((200, endpoint_list_json(10, true, &backends.old_entry())));
    backends.assert_only_new_is_used(&proxy, "a draining backend gets nothing new");
    assert!(!has_logged(&proxy, APPLIED));
}
