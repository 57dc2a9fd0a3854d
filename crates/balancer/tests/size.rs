//! The operators review the decision module in an hour: its size is bounded.

#[test]
fn the_decision_module_stays_reviewable() {
    let read = |name| std::fs::read_to_string(format!("{}/src/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap();
    let (text, loads) = (read("rules.rs"), read("loads.rs") + &read("reach.rs"));
    let lines = text.lines().chain(loads.lines()).filter(|l| !l.trim().is_empty()).count();
    assert!((100..=1200).contains(&lines), "{lines} lines");
    assert!(loads.lines().all(|line| line.chars().count() <= 120));
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too wide", number + 1);
    }
    assert!(
        text.lines().take(3).any(|l| l.contains("crates/balancer/src/interface.rs")),
        "the interface is named first"
    );
}
