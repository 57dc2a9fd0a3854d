//! Calls to discovery that fall silent before discovery goes down: what they missed counts as known, and is learned before the
//! outage, or the list expires.

mod harness;

use harness::backend_pair::{answer_until_polled, BackendPair};
use harness::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// The time from the silence to the outage: shorter than the time after which a long poll is given up.
const OUTAGE_DELAY: Duration = Duration::from_millis(200);
/// The time after the end of a long poll's wait from which on what it missed counts as known.
const SILENT_POLL_ALLOWANCE: Duration = Duration::from_secs(2);
const SNAPSHOT_CALL: &str = "GET /api/targets HTTP/1.1";

fn wait_until(event: &str, mut has_happened: impl FnMut() -> bool) {
    let start = Instant::now();
    while !has_happened() {
        assert!(start.elapsed() < WAIT_LIMIT, "{event}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn wait_of(target: &str) -> Duration {
    let wait = target.split("wait_ms=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    Duration::from_millis(wait.expect("a long poll"))
}

/// Plays a silence of the open calls, a drain, and an outage that begins as soon as the drain was delivered, or after
/// [`OUTAGE_DELAY`]. Returns an error if it was not delivered by then.
fn play_silence_drain_and_outage(grace_ms: u64) -> Result<(), String> {
    let backends = BackendPair::start();
    let entry = |name: &str, address| Entry::new(name, address, "east", "big", 1);
    let entries = vec![entry("b0", backends.old.address), entry("b1", backends.new.address)];
    let discovery = ListServer::start(Clock::start(), &["p0"], entries).unwrap();
    let proxy = program().start_with_discovery(discovery.address(0), &[], &push_settings(grace_ms));
    wait_until("the snapshot is followed by a call", || discovery.calls() >= 2);
    discovery.silence_open_calls();
    wait_until("an open call falls silent", || !discovery.silent_calls().is_empty());
    let drained = discovery.drain("b0");
    let drained_at = Instant::now();
    let is_delivered = || discovery.deliveries().iter().any(|delivery| delivery.index >= drained);
    while !is_delivered() && drained_at.elapsed() < OUTAGE_DELAY {
        std::thread::sleep(Duration::from_millis(1));
    }
    discovery.set_service(ListService::Silent);
    if !is_delivered() {
        return Err(format!("grace {grace_ms} ms: drain not delivered within {OUTAGE_DELAY:?}"));
    }
    std::thread::sleep(Duration::from_millis(grace_ms).saturating_sub(drained_at.elapsed()));
    backends.assert_only_new_is_used(&proxy, "a draining backend gets nothing new in an outage");
    Ok(())
}

/// Guards against sending to a draining backend through a whole outage of discovery, because the open calls had fallen silent
/// shortly before the drain. A stall of the machine may delay a call, but not each time.
#[test]
fn drain_missed_by_silent_calls_is_learned_before_an_outage() {
    for grace_ms in [1000, 2000] {
        let errors: Vec<String> =
            (0..3).map_while(|_| play_silence_drain_and_outage(grace_ms).err()).collect();
        assert!(errors.len() < 3, "{errors:?}");
    }
}

/// A confirmation that has fallen silent, like the long poll, is replaced; the next one has the drain. No later call is
/// answered.
#[test]
fn silent_confirmation_is_replaced_by_one_that_has_the_drain() {
    let backends = BackendPair::start();
    let proxy = Proxy::start_with_settings(&backends.old_entry(), 1024, &push_settings(60_000));
    let list = endpoint_list_json(9, true, &backends.old_entry());
    let _silent_poll = answer_until_polled(&proxy.discovery, 9, &list);
    let _silent_confirmation = proxy.discovery.next_confirmation();
    let _applied = answer_confirmations(&proxy.discovery, 9, &backends.changes());
    backends.assert_only_new_is_used(&proxy, "a draining backend gets nothing new");
}

/// Answers confirmations with these changes, as version 10, until one is made from version 10 on, and returns that one. On a
/// busy machine one may be given up before its answer.
fn answer_confirmations(discovery: &DiscoveryServer, after: u64, changes: &[String]) -> impl Sized {
    loop {
        let (target, answer) = discovery.next_confirmation();
        if !target.contains(&format!("after={after}&")) {
            return (target, answer);
        }
        let _ = answer.send((200, endpoint_list_json(10, false, changes)));
    }
}

/// Guards against calling an agent without a pause that answers confirmations at once.
#[test]
fn agent_that_does_not_wait_is_called_for_confirmations_with_pauses() {
    const CALLS: u32 = 20;
    let backends = BackendPair::start();
    let proxy = Proxy::start_with_settings(&backends.old_entry(), 1024, &push_settings(2000));
    let list = endpoint_list_json(9, true, &backends.old_entry());
    let _poll = answer_until_polled(&proxy.discovery, 9, &list);
    let start = Instant::now();
    for _ in 0..CALLS {
        let (_, answer) = proxy.discovery.next_confirmation();
        let _ = answer.send((200, endpoint_list_json(9, false, &[])));
    }
    assert!(start.elapsed() > Duration::from_millis(25) * (CALLS - 2), "{:?}", start.elapsed());
}

/// The long poll was made before the confirmation and is answered after it: its older list must not replace the later one.
#[test]
fn long_poll_overtaken_by_a_confirmation_does_not_restore_an_older_list() {
    let backends = BackendPair::start();
    let proxy = Proxy::start_with_settings(&backends.old_entry(), 1024, &push_settings(60_000));
    let list = endpoint_list_json(8, true, &backends.old_entry());
    let (_, overtaken) = answer_until_polled(&proxy.discovery, 8, &list);
    let _applied = answer_confirmations(&proxy.discovery, 8, &backends.changes());
    let _ = overtaken.send((200, endpoint_list_json(9, false, &backends.old_entry())));
    let (target, _poll) = proxy.discovery.next_call();
    assert!(target.contains("after=10&"), "the list of the confirmation is the pool's: {target}");
    backends.assert_only_new_is_used(&proxy, "a draining backend gets nothing new");
}

/// Fails the calls of the subscription with 503 until this time. On return, a call is pending.
fn fail_calls_until(discovery: &DiscoveryServer, until: Instant) -> (String, impl FnOnce(u16, String)) {
    loop {
        let (target, answer) = discovery.next_call();
        if Instant::now() >= until {
            return (target, move |status, body| drop(answer.send((status, body))));
        }
        let _ = answer.send((503, String::new()));
    }
}

/// Guards against trusting a polled list through a whole outage of discovery, although the long poll before it was never
/// answered: what it missed counts as known 2 s after its wait. The first answer after the outage restores the list.
#[test]
fn list_expires_in_an_outage_after_a_silent_long_poll() {
    let grace = Duration::from_millis(400);
    let backends = BackendPair::start();
    let proxy = Proxy::start_with_settings(&backends.old_entry(), 1024, &subscribe_settings(400));
    let list = endpoint_list_json(9, true, &backends.old_entry());
    let (target, _silent) = answer_until_polled(&proxy.discovery, 9, &list);
    let known_at = Instant::now() + wait_of(&target) + SILENT_POLL_ALLOWANCE;
    let (_, answer) = fail_calls_until(&proxy.discovery, known_at + grace);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 503, "the list has expired");
    assert_eq!(backends.old.request_count(), 0);
    // Its list is a delta, and the pool's list has expired: only a snapshot restores it.
    answer(200, endpoint_list_json(10, false, &[]));
    let (target, answer) = proxy.discovery.next_call();
    assert_eq!(target, SNAPSHOT_CALL);
    let _ = answer.send((200, endpoint_list_json(10, true, &backends.changes())));
    let _poll = answer_until_polled(&proxy.discovery, 10, &endpoint_list_json(10, true, &backends.changes()));
    backends.assert_only_new_is_used(&proxy, "the list is restored");
}

/// In an outage, discovery ends its long polls, so that nothing was missed: the list holds.
#[test]
fn list_holds_in_an_outage_that_ends_the_long_poll() {
    let grace = Duration::from_millis(400);
    let backends = BackendPair::start();
    let proxy = Proxy::start_with_settings(&backends.old_entry(), 1024, &subscribe_settings(400));
    let list = endpoint_list_json(9, true, &backends.old_entry());
    let (target, ended) = answer_until_polled(&proxy.discovery, 9, &list);
    let known_at = Instant::now() + wait_of(&target) + SILENT_POLL_ALLOWANCE;
    drop(ended);
    let _pending = fail_calls_until(&proxy.discovery, known_at + 2 * grace);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 200, "the list holds");
}

/// An agent that sends the list, ends its answer to the first call for changes half way, and answers no call after that.
fn start_agent_that_cuts_its_changes(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut silent = Vec::new();
        let mut has_cut = false;
        for mut tcp in listener.incoming().flatten() {
            let mut reader = BufReader::new(tcp.try_clone().unwrap());
            while let Some(call) = Message::read(&mut reader) {
                if has_cut {
                    silent.push(tcp);
                    break;
                }
                let length = list.len();
                let head = format!("HTTP/1.1 200 X\r\nContent-Length: {length}\r\n\r\n");
                has_cut = call.first.contains("after=");
                let sent = if has_cut { length / 2 } else { length };
                tcp.write_all((head + &list[..sent]).as_bytes()).unwrap();
                if has_cut {
                    break;
                }
            }
        }
    });
    address
}

/// Guards against trusting a list through an outage although an answer with changes, which the agent had, was received in part.
#[test]
fn list_expires_in_an_outage_after_an_answer_that_was_cut() {
    let backends = BackendPair::start();
    let agent = start_agent_that_cuts_its_changes(endpoint_list_json(9, true, &backends.old_entry()));
    let proxy = program().start_with_discovery(agent, &[], &push_settings(300));
    let expired = "removing all backends";
    wait_until("the list expires", || proxy.log.since(0).iter().any(|line| line.contains(expired)));
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 503);
    assert_eq!(backends.old.request_count(), 0);
}
