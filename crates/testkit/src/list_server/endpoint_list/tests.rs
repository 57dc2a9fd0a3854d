//! Tests of `endpoint_list` that need its private items.

use super::*;

fn entry(name: &str) -> Entry {
    Entry::new(name, SocketAddr::from(([127, 0, 0, 1], 9)), "east", "big", 1)
}

fn two_entries() -> EndpointList {
    EndpointList::new(&["n0", "n1"], vec![entry("a"), entry("b")])
}

fn parse(answer: Option<Answer>) -> (u64, bool, Vec<String>) {
    let body = answer.expect("an answer").body;
    let value: serde_json::Value = serde_json::from_str(&body).unwrap();
    let line = |e: &serde_json::Value| format!("{} {}", e["name"], e["status"]).replace('"', "");
    let lines = value["endpoints"].as_array().unwrap().iter().map(line).collect();
    (value["index"].as_u64().unwrap(), value["snapshot"].as_bool().unwrap(), lines)
}

#[test]
fn poll_gets_a_snapshot_and_long_poll_gets_a_delta() {
    let mut list = two_entries();
    assert_eq!(parse(list.answer(0, None)), (1, true, vec!["a SERVING".into(), "b SERVING".into()]));
    assert!(list.answer(0, Some(1)).is_none());
    list.set_status("a", Status::Draining);
    list.set_status("b", Status::Deleted);
    list.set_status("none", Status::Deleted);
    assert_eq!(parse(list.answer(0, Some(2))), (3, false, vec!["b DELETED".into()]));
    assert_eq!(parse(list.answer(0, Some(1))), (3, false, vec!["a DRAINING".into(), "b DELETED".into()]));
    assert_eq!(parse(list.answer(0, None)), (3, true, vec!["a DRAINING".into()]));
    assert_eq!(parse(Some(list.empty_delta())), (3, false, vec![]));
}

#[test]
fn compacted_or_unknown_version_gets_a_snapshot() {
    let mut list = two_entries();
    list.put(entry("c"));
    list.compact();
    for after in [0, 1, 7] {
        assert!(parse(list.answer(0, Some(after))).1, "{after}");
    }
    assert!(list.answer(0, Some(2)).is_none());
}

#[test]
fn drain_is_delivered_when_the_last_watcher_first_received_it() {
    let mut list = two_entries();
    let deliver = |list: &mut EndpointList, watcher, after, at| {
        let answer = list.answer(watcher, after).expect("an answer");
        list.record_delivery(watcher, answer, Time(at));
    };
    deliver(&mut list, 0, None, 1);
    deliver(&mut list, 1, None, 2);
    list.set_status("a", Status::Draining);
    deliver(&mut list, 0, Some(1), 3);
    assert_eq!(list.drained(), [], "the second watcher has not received it");
    deliver(&mut list, 1, Some(1), 4);
    let drained = |at| [Drained { name: "a".into(), delivered_at: Time(at) }];
    assert_eq!(list.drained(), drained(4));
    list.set_status("a", Status::Deleted);
    deliver(&mut list, 0, Some(2), 5);
    deliver(&mut list, 1, None, 6);
    assert_eq!(list.drained(), drained(4), "the deletion changes nothing for new requests");
    list.put(entry("a"));
    assert_eq!(list.drained(), [], "it serves again");
    let received: Vec<_> =
        list.deliveries().iter().filter(|d| d.name == "a").map(|d| (d.watcher, d.at.0)).collect();
    assert_eq!(received, [(0, 1), (1, 2), (0, 3), (1, 4), (0, 5), (1, 6)]);
}
