//! Log lines on long endpoint lists that change often: one line for each list, not one for each backend.

mod harness;

use harness::*;
use std::time::Duration;

/// Publishes lists one after the other, each with new backends alone. Returns the lines of the log and the peak memory in KiB.
fn lines_and_memory(backends: usize, lists: u64, pause: Duration) -> (Vec<String>, u64) {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let generation = |number: u64| -> Vec<String> {
        let name = |index: usize| format!("b-{number}-{index}");
        (0..backends).map(|index| endpoint_json(&name(index), backend.address, "SERVING")).collect()
    };
    let proxy = Proxy::start_with_settings(&[], 1024, SETTINGS);
    for number in 1..=lists {
        let (_, answer) = proxy.discovery.next_call();
        answer.send((200, endpoint_list_json(number, true, &generation(number)))).expect("a waiting call");
        proxy.log.expect(0, &format!("list {number} "));
        std::thread::sleep(pause);
    }
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("the process status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("VmHWM");
    let peak = peak.trim().trim_end_matches(" kB").trim().parse().expect("a number");
    (proxy.log.since(0), peak)
}

#[test]
fn list_has_one_line_with_counts_however_long_it_is() {
    let (backends, lists) = (1_000, 4);
    let (lines, _) = lines_and_memory(backends, lists, Duration::ZERO);
    let list_lines = lines.iter().filter(|line| line.contains(": list ")).count();
    assert_eq!(list_lines, lists as usize, "{lines:#?}");
    let second = lines.iter().find(|line| line.contains("list 2 ")).expect("a line on the second list");
    assert!(second.contains("1000 new, 1000 ready, 0 draining, 0 gone, all others gone"), "{second}");
    assert!(lines.len() < 20, "{lines:#?}");
}

/// Replaces 3,200 backends three times a second for 12 s. Run by hand: `--ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn log_lines_of_3200_backends_replaced_three_times_a_second() {
    let (lines, peak) = lines_and_memory(3_200, 36, Duration::from_millis(333));
    println!("{} lines in 12 s, peak memory {peak} KiB", lines.len());
    assert!(lines.len() < 200);
}
