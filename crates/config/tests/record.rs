//! Mistakes about the store of record: each alone in a file that is right otherwise.

mod common;

use common::{check, problems, BASE};
use shaletide_config::operator::{read_extension, PlatformNames};

/// A file that is right, with a store and an unsafe class in front of the last section.
fn with(class: &str, record: &str) -> String {
    BASE.replacen("[[tenant]]", &format!("[[class]]\nname = \"pay\"\n{class}\n{record}\n[[tenant]]"), 1)
}

/// What is said of a file, as place, mistake and expectation; exactly one.
fn only(text: &str) -> (usize, String, String) {
    let found = problems(text);
    let blocks: Vec<&str> = found.iter().map(|p| p.block.as_str()).collect();
    assert_eq!(found.len(), 1, "{text}\n{}", blocks.join("\n"));
    (found[0].line, found[0].what.clone(), found[0].block.clone())
}

const UNSAFE: &str = "effect = \"unsafe\"";
const STORE: &str = "[record]\npath = \"r.db\"";

#[test]
fn intents_are_for_unsafe_classes_only() {
    let (line, what, block) = only(&with("record = \"permit\"", STORE));
    assert_eq!((line, what.as_str()), (36, "class.record: the class is not unsafe"));
    assert!(block.contains("without `effect` a class is safe"), "{block}");
    let (_, _, block) = only(&with("effect = \"safe\"\nrecord = \"permit\"", STORE));
    assert!(block.contains("its effect"), "{block}");
    assert!(problems(&with("record = \"facts\"", STORE)).is_empty());
}

#[test]
fn recording_needs_a_store() {
    for word in ["permit", "facts"] {
        let (_, what, block) = only(&with(&format!("{UNSAFE}\nrecord = \"{word}\""), ""));
        assert_eq!(what, format!("class.record: `{word}` without a store to record in"));
        assert!(block.contains("expected [record] with a `path`"), "{block}");
    }
    assert!(problems(&with(&format!("{UNSAFE}\nrecord = \"none\""), "")).is_empty());
    // A store under a name near to its own, or one that a syntax error hides, is the one mistake.
    let permit = format!("{UNSAFE}\nrecord = \"permit\"");
    assert!(only(&with(&permit, "[recrod]\npath = \"r.db\"")).1.contains("unknown section"));
    assert_eq!(problems(&with(&permit, "[record\npath = \"r.db\"")).len(), 1);
}

#[test]
fn without_key_needs_intents() {
    for (class, record) in [
        (format!("{UNSAFE}\nrecord = \"facts\"\nwithout_key = \"refuse\""), STORE),
        ("without_key = \"record\"".into(), STORE),
        (format!("{UNSAFE}\nwithout_key = \"record\""), ""),
    ] {
        assert_eq!(only(&with(&class, record)).1, "class.without_key: the class asks for no permit");
    }
    let (_, what, _) = only(&with(&format!("{UNSAFE}\nrecord = \"al\"\nwithout_key = \"refuse\""), STORE));
    assert_eq!(what, "class.record: `al` is not known here");
}

#[test]
fn intent_timeout_is_under_every_deadline() {
    let class = format!("{UNSAFE}\naim = \"20ms\"\ndeadline = \"50ms\"");
    let (line, what, block) = only(&with(&class, STORE));
    assert_eq!(
        (line, what.as_str()),
        (38, "record.wait: 50ms is not under 50ms, the deadline of the class `pay`")
    );
    assert!(block.contains("without `wait` it is 50ms"), "{block}");
    let (line, what, block) = only(&with(UNSAFE, &format!("{STORE}\nwait = \"3s\"")));
    assert_eq!(
        (line, what.as_str()),
        (39, "record.wait: 3s is not under 2s, the deadline of the class `pay`")
    );
    assert!(block.contains("without `deadline` it is 2s"), "{block}");
    let both = with(&class, &format!("{STORE}\nwait = \"60ms\""));
    assert!(only(&both).2.contains("the deadline"), "{}", only(&both).2);
    assert!(problems(&with(&class, &format!("{STORE}\nwait = \"49ms\""))).is_empty());
    // No permit, no wait; and a deadline that is wrong is one mistake.
    assert!(problems(&with(&format!("{class}\nrecord = \"facts\""), STORE)).is_empty());
    let wrong = class.replace("50ms", "soon");
    assert_eq!(only(&with(&wrong, STORE)).1, "class.deadline: `soon` is no time");
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
            "record.path: `a␊b` is no path",
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
    let (_, what, block) = only(&BASE.replacen("[goal]", &long, 1));
    assert!(what.contains("is too long") && block.contains("1 to 107 bytes"), "{block}");
}

#[test]
fn store_of_record_is_rejected_on_the_platform() {
    let names = PlatformNames { classes: vec!["read".into()], tenants: vec![] };
    let report = read_extension("w.toml", "[record]\npath = \"r.db\"\n[control]\nsocket = \"c\"\n", &names);
    let said: Vec<_> = report.unwrap_err().problems().iter().map(|p| (p.line, p.expected.clone())).collect();
    let expected = "the platform leaves no choice here".to_string();
    assert_eq!(said, [(2, expected.clone()), (4, expected)]);
}
