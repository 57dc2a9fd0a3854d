use super::*;
use serde_json::json;

fn list(endpoints: Vec<Value>) -> List {
    List { index: 1, snapshot: true, endpoints }
}

#[test]
fn entry_is_parsed_with_all_its_fields() {
    let full = json!({"name": "b7", "address": "10.0.0.7:80", "zone": "a", "type": "big", "group": 9,
        "cores": 4, "weight": 1.5, "status": "DRAINING", "since_ms": 12.5, "more": []});
    let minimal = json!({"name": "b8", "address": "[::1]:80", "status": "SERVING"});
    let (entries, skipped) = list(vec![full, minimal]).entries();
    assert_eq!(skipped, None);
    let first = Endpoint {
        name: "b7".into(),
        address: "10.0.0.7:80".parse().unwrap(),
        zone: "a".into(),
        server_type: "big".into(),
        deduplication_group: 9,
        cores: 4,
        weight: 1_500,
        state: BackendState::Draining,
        started_at: Some(Time(12_500)),
    };
    let minimal_fields = ("b8".to_string(), "[::1]:80".parse().unwrap(), String::new());
    let second = Endpoint {
        name: minimal_fields.0,
        address: minimal_fields.1,
        zone: minimal_fields.2.clone(),
        server_type: minimal_fields.2,
        deduplication_group: deduplication_group_hash("b8"),
        cores: 1,
        weight: 0,
        state: BackendState::Ready,
        started_at: None,
    };
    assert_eq!(entries, [first, second]);
}

#[test]
fn invalid_entries_are_skipped_counted_and_the_first_is_reported() {
    let valid = |name: &str| json!({"name": name, "address": "10.0.0.7:80", "status": "DELETED"});
    let bad = [
        json!({"name": "x", "address": "10.0.0.7:80", "status": "UNSURE"}),
        json!({"name": "x", "address": "here", "status": "SERVING"}),
        json!({"name": "x", "status": "SERVING"}),
        json!(["x"]),
        valid(&"n".repeat(MAX_NAME + 1)),
    ];
    let mut all = vec![valid("a")];
    all.extend(bad);
    all.push(valid("b"));
    let (entries, skipped) = list(all).entries();
    assert_eq!(entries.iter().map(|e| e.name.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    assert!(entries.iter().all(|e| e.state == BackendState::Gone));
    let skipped = skipped.unwrap();
    assert_eq!(skipped.count, 5);
    assert!(skipped.first.contains("UNSURE") && skipped.first.len() <= 500, "{}", skipped.first);
}

#[test]
fn invalid_entry_with_draining_or_deleted_status_marks_the_backend_gone() {
    let bad = |status: &str, more: Value| {
        let mut entry = json!({"name": "x", "address": "10.0.0.7:80", "status": status});
        entry.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
        entry
    };
    let invalid_fields = [
        json!({"address": "here"}),
        json!({"address": null}),
        json!({"zone": 7}),
        json!({"zone": "z".repeat(MAX_NAME + 1)}),
        json!({"since_ms": "soon"}),
        json!({"group": -1}),
    ];
    for more in invalid_fields {
        for status in ["DRAINING", "DELETED"] {
            let (entries, skipped) = list(vec![bad(status, more.clone())]).entries();
            let backends: Vec<_> = entries.iter().map(|e| (e.name.as_str(), e.state)).collect();
            assert_eq!(backends, [("x", BackendState::Gone)], "{status} {more}");
            assert_eq!(skipped.unwrap().count, 1, "the skipped entry is reported");
        }
        assert_eq!(list(vec![bad("SERVING", more)]).entries().0, []);
    }
    let absent = json!({"zone": null, "type": null, "group": null, "weight": null, "since_ms": null});
    let (entries, skipped) = list(vec![bad("SERVING", absent)]).entries();
    assert_eq!((entries.len(), skipped), (1, None), "a field that is null counts as absent");
}

#[test]
fn invalid_utf8_or_number_in_one_entry_does_not_hide_others() {
    let list_with = |more: &[u8]| {
        let head = br#"{"index":9,"snapshot":false,"endpoints":[{"name":"a","address":"10.0.0.7:80","#;
        let tail = br#""status":"DRAINING"},{"name":"b","address":"10.0.0.8:80","status":"DRAINING"}]}"#;
        [&head[..], more, &tail[..]].concat()
    };
    for more in [&b"\"zone\":\"\xff\xfe\","[..], b"\"since_ms\":1e999,", b"\"weight\":-1e999,\n\t"] {
        let list = List::read(&list_with(more)).unwrap();
        let backends: Vec<_> = list.entries().0.into_iter().map(|e| (e.name, e.state)).collect();
        let none_ready = backends.iter().all(|(_, state)| *state != BackendState::Ready);
        assert_eq!(
            (list.index, list.snapshot, backends.len(), none_ready),
            (9, false, 2, true),
            "{backends:?}"
        );
    }
    let complete = list_with(b"");
    for cut in 0..complete.len() {
        assert!(List::read(&complete[..cut]).is_err(), "cut after {cut} bytes");
    }
}

#[test]
fn invalid_core_count_is_one() {
    for cores in [json!(0), json!(-3), json!("8"), json!(1e99), json!(null), json!(2.5)] {
        let entry = json!({"name": "b", "address": "10.0.0.7:80", "status": "SERVING", "cores": cores});
        assert_eq!(list(vec![entry]).entries().0[0].cores, 1);
    }
}

#[test]
fn entries_beyond_the_bound_are_skipped() {
    let entry = |n: usize| json!({"name": n.to_string(), "address": "10.0.0.7:80", "status": "SERVING"});
    let (entries, skipped) = list((0..MAX_ENTRIES + 3).map(entry).collect()).entries();
    assert_eq!((entries.len(), skipped.unwrap().count), (MAX_ENTRIES, 3));
}
