//! Problems about the store of record, each alone in an otherwise valid file.

mod common;

use common::{check, problems, BASE};
use shaletide_config::operator::{read_extension, PlatformNames};

/// Returns the valid file with the class `pay` and the store of record added before the tenants.
fn base_with(class: &str, record: &str) -> String {
    BASE.replacen("[[tenant]]", &format!("[[class]]\nname = \"pay\"\n{class}\n{record}\n[[tenant]]"), 1)
}

/// Returns the line, summary and printed block of the only problem of a file.
fn only_problem(text: &str) -> (usize, String, String) {
    let found = problems(text);
    let blocks: Vec<&str> = found.iter().map(|p| p.block.as_str()).collect();
    assert_eq!(found.len(), 1, "{text}\n{}", blocks.join("\n"));
    (found[0].line, found[0].summary.clone(), found[0].block.clone())
}

const UNSAFE: &str = "effect = \"unsafe\"";
const STORE: &str = "[record]\npath = \"r.db\"";

#[test]
fn intents_are_for_unsafe_classes_only() {
    let (line, summary, block) = only_problem(&base_with("record = \"permit\"", STORE));
    assert_eq!((line, summary.as_str()), (36, "class.record: the class is not unsafe"));
    assert!(block.contains("`effect` defaults to \"safe\""), "{block}");
    let (_, _, block) = only_problem(&base_with("effect = \"safe\"\nrecord = \"permit\"", STORE));
    assert!(block.contains("the effect"), "{block}");
    assert!(problems(&base_with("record = \"facts\"", STORE)).is_empty());
}

#[test]
fn recording_needs_a_store() {
    for mode in ["permit", "facts"] {
        let (_, summary, block) = only_problem(&base_with(&format!("{UNSAFE}\nrecord = \"{mode}\""), ""));
        assert_eq!(summary, format!("class.record: `{mode}` requires a store of record"));
        assert!(block.contains("expected [record] with a `path`"), "{block}");
    }
    assert!(problems(&base_with(&format!("{UNSAFE}\nrecord = \"none\""), "")).is_empty());
    // A misspelled store, or one that a syntax error hides, is reported as that one problem.
    let permit = format!("{UNSAFE}\nrecord = \"permit\"");
    assert!(only_problem(&base_with(&permit, "[recrod]\npath = \"r.db\"")).1.contains("unknown section"));
    assert_eq!(problems(&base_with(&permit, "[record\npath = \"r.db\"")).len(), 1);
}

#[test]
fn without_key_needs_intents() {
    for (class, record) in [
        (format!("{UNSAFE}\nrecord = \"facts\"\nwithout_key = \"refuse\""), STORE),
        ("without_key = \"record\"".into(), STORE),
        (format!("{UNSAFE}\nwithout_key = \"record\""), ""),
    ] {
        assert_eq!(
            only_problem(&base_with(&class, record)).1,
            "class.without_key: the class does not use permits"
        );
    }
    let (_, summary, _) =
        only_problem(&base_with(&format!("{UNSAFE}\nrecord = \"al\"\nwithout_key = \"refuse\""), STORE));
    assert_eq!(summary, "class.record: `al` is not one of the allowed values");
}

#[test]
fn intent_timeout_is_below_every_deadline() {
    let class = format!("{UNSAFE}\naim = \"20ms\"\ndeadline = \"50ms\"");
    let (line, summary, block) = only_problem(&base_with(&class, STORE));
    assert_eq!(
        (line, summary.as_str()),
        (38, "record.wait: 50ms is not below 50ms, the deadline of the class `pay`")
    );
    assert!(block.contains("`wait` defaults to 50ms"), "{block}");
    let (line, summary, block) = only_problem(&base_with(UNSAFE, &format!("{STORE}\nwait = \"3s\"")));
    assert_eq!(
        (line, summary.as_str()),
        (39, "record.wait: 3s is not below 2s, the deadline of the class `pay`")
    );
    assert!(block.contains("`deadline` defaults to 2s"), "{block}");
    let both = base_with(&class, &format!("{STORE}\nwait = \"60ms\""));
    assert!(only_problem(&both).2.contains("the deadline"), "{}", only_problem(&both).2);
    assert!(problems(&base_with(&class, &format!("{STORE}\nwait = \"49ms\""))).is_empty());
    // A class without permits does not use `wait`, and an invalid deadline is reported as that one problem.
    assert!(problems(&base_with(&format!("{class}\nrecord = \"facts\""), STORE)).is_empty());
    let invalid = class.replace("50ms", "soon");
    assert_eq!(only_problem(&base_with(&invalid, STORE)).1, "class.deadline: `soon` is not a valid time");
}

#[test]
fn values_of_the_store_are_read() {
    check(&[
        (
            "[goal]",
            "[record]\n[goal]",
            (18, 1),
            "record.path is missing",
            "expected `path`: the path of a file",
        ),
        (
            "[goal]",
            "[record]\npath = \"\"\n[goal]",
            (19, 8),
            "record.path: a path may not be empty",
            "expected the",
        ),
        (
            "[goal]",
            "[record]\npath = \"a\\nb\"\n[goal]",
            (19, 8),
            "record.path: `a␊b` is not a valid file path",
            "expected the",
        ),
        (
            "[goal]",
            "[record]\npath = \"r\"\nkeep = \"59min\"\n[goal]",
            (20, 8),
            "record.keep: `59min` is out of range",
            "expected a time from 1h to 3650d",
        ),
        (
            "[goal]",
            "[record]\npath = \"r\"\nwait = \"11s\"\n[goal]",
            (20, 8),
            "record.wait: `11s` is out of range",
            "expected a time from 1ms to 10s",
        ),
        ("[goal]", "[control]\n[goal]", (18, 1), "control.socket is missing", "expected `socket`"),
    ]);
    let long = format!("[control]\nsocket = \"/{}\"\n[goal]", "s".repeat(107));
    let (_, summary, block) = only_problem(&BASE.replacen("[goal]", &long, 1));
    assert!(summary.contains("is too long") && block.contains("1 to 107 bytes"), "{block}");
}

#[test]
fn store_of_record_is_rejected_on_the_platform() {
    let names = PlatformNames { classes: vec!["read".into()], tenants: vec![] };
    let report = read_extension("w.toml", "[record]\npath = \"r.db\"\n[control]\nsocket = \"c\"\n", &names);
    let reported: Vec<_> =
        report.unwrap_err().problems().iter().map(|p| (p.line, p.expected.clone())).collect();
    let expected = "the platform fixes this value".to_string();
    assert_eq!(reported, [(2, expected.clone()), (4, expected)]);
}
