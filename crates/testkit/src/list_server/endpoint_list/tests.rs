//! Tests of `book` that need its private items.

use super::*;

fn entry(name: &str) -> Entry {
    Entry::new(name, SocketAddr::from(([127, 0, 0, 1], 9)), "east", "big", 1)
}

fn book() -> EndpointList {
    EndpointList::new(&["n0", "n1"], vec![entry("a"), entry("b")])
}

fn read(answer: Option<Answer>) -> (u64, bool, Vec<String>) {
    let body = answer.expect("an answer").body;
    let value: serde_json::Value = serde_json::from_str(&body).unwrap();
    let line = |e: &serde_json::Value| format!("{} {}", e["name"], e["status"]).replace('"', "");
    let lines = value["endpoints"].as_array().unwrap().iter().map(line).collect();
    (value["index"].as_u64().unwrap(), value["snapshot"].as_bool().unwrap(), lines)
}

#[test]
fn a_call_gets_the_whole_list_and_a_watch_what_changed() {
    let mut book = book();
    assert_eq!(read(book.answer(0, None)), (1, true, vec!["a SERVING".into(), "b SERVING".into()]));
    assert!(book.answer(0, Some(1)).is_none());
    book.set("a", Status::Draining);
    book.set("b", Status::Deleted);
    book.set("none", Status::Deleted);
    assert_eq!(read(book.answer(0, Some(2))), (3, false, vec!["b DELETED".into()]));
    assert_eq!(read(book.answer(0, Some(1))), (3, false, vec!["a DRAINING".into(), "b DELETED".into()]));
    assert_eq!(read(book.answer(0, None)), (3, true, vec!["a DRAINING".into()]));
    assert_eq!(read(Some(book.nothing())), (3, false, vec![]));
}

#[test]
fn a_version_that_is_forgotten_or_unknown_gets_the_whole_list() {
    let mut book = book();
    book.put(entry("c"));
    book.compact();
    for after in [0, 1, 7] {
        assert!(read(book.answer(0, Some(after))).1, "{after}");
    }
    assert!(book.answer(0, Some(2)).is_none());
}

#[test]
fn a_drain_is_told_when_the_last_watcher_was_first_told() {
    let mut book = book();
    let tell = |book: &mut EndpointList, watcher, after, at| {
        let answer = book.answer(watcher, after).expect("an answer");
        book.tell(watcher, answer, Time(at));
    };
    tell(&mut book, 0, None, 1);
    tell(&mut book, 1, None, 2);
    book.set("a", Status::Draining);
    tell(&mut book, 0, Some(1), 3);
    assert_eq!(book.drained(), [], "one has not been told");
    tell(&mut book, 1, Some(1), 4);
    let drained = |told| [Drained { name: "a".into(), delivered_at: Time(told) }];
    assert_eq!(book.drained(), drained(4));
    book.set("a", Status::Deleted);
    tell(&mut book, 0, Some(2), 5);
    tell(&mut book, 1, None, 6);
    assert_eq!(book.drained(), drained(4), "the deletion says nothing new");
    book.put(entry("a"));
    assert_eq!(book.drained(), [], "it is back");
    let seen: Vec<_> = book.told().iter().filter(|t| t.name == "a").map(|t| (t.watcher, t.at.0)).collect();
    assert_eq!(seen, [(0, 1), (1, 2), (0, 3), (1, 4), (0, 5), (1, 6)]);
}
