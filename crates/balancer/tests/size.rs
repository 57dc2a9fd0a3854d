//! The operators review the decision module file by file: each is bounded, names its concern first and is no wider than a
//! page.

/// Lines that are not empty, in any one file.
const MOST_LINES: usize = 500;
/// Characters in a line.
const MOST_WIDTH: usize = 120;
/// What the operators' file lists as the decision module, under `crates/balancer/src`.
const FILES: [&str; 12] = [
    "rules.rs",
    "rules/admission.rs",
    "rules/draw.rs",
    "rules/ejection.rs",
    "rules/endpoints.rs",
    "rules/retry.rs",
    "rules/shares.rs",
    "rules/slow_start.rs",
    "rules/timers.rs",
    "loads.rs",
    "reach.rs",
    "give_up.rs",
];

fn read(path: &str) -> String {
    std::fs::read_to_string(format!("{}/{path}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

#[test]
fn each_file_of_the_decision_module_stays_reviewable() {
    for file in FILES {
        let text = read(&format!("src/{file}"));
        assert!(text.starts_with("//! "), "{file} names its concern first");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!((20..=MOST_LINES).contains(&lines), "{file}: {lines} lines");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MOST_WIDTH, "{file}: line {} is too wide", number + 1);
        }
    }
    let first = read("src/rules.rs");
    assert!(
        first.lines().take(3).any(|line| line.contains("crates/balancer/src/interface.rs")),
        "the interface is named first"
    );
}

#[test]
fn deploy_file_lists_the_whole_decision_module() {
    let deploy = read("../../deploy/balancer.toml");
    let policy = deploy.lines().find(|line| line.starts_with("policy = ")).unwrap();
    for file in FILES {
        assert!(policy.contains(&format!("\"crates/balancer/src/{file}\"")), "{file} is not listed");
    }
    let folder = std::fs::read_dir(format!("{}/src/rules", env!("CARGO_MANIFEST_DIR"))).unwrap();
    for entry in folder {
        let name = format!("rules/{}", entry.unwrap().file_name().to_string_lossy());
        assert!(FILES.contains(&name.as_str()), "{name} is not bounded here");
    }
}
