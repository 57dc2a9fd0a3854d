//! A valid file, and checks of the problem that a single change to it causes.
#![allow(dead_code)] // each test program uses only some of the items

use shaletide_config::operator::read;
use shaletide_config::Problem;

/// A valid file. Each case replaces a part of it.
pub const BASE: &str = r#"[proxy]
name = "quay-1"
zone = "east"
proxies = 2
position = 1
seed = "8c1f"
[[listener]]
address = "127.0.0.1:8080"
[[listener]]
address = "127.0.0.1:8081"
[limits]
max_attempts = 3
tick = "1ms"
max_body = "64KiB"
cancel = true
[rules]
cold_from = 0.3
[goal]
whole = 0.7
[request]
class = { path = 1 }
otherwise = "read"
id = "X-Id"
[[class]]
name = "read"
aim = "400ms"
deadline = "1s"
methods = ["GET"]
[[class]]
name = "settle"
effect = "keyed"
key_scope = "bay"
key_window = "1.2s"
[[tenant]]
name = "milford"
quota = 180.0
[[pool]]
name = "new"
boxes = ["127.0.0.1:9001", { address = "127.0.0.1:9002", kind = "fast", zone = "east", bay = 1, cores = 4 }]
[[pool]]
name = "old"
discovery = "127.0.0.1:8500"
must_ask_within = "9s"
[answers]
served = ["200-299", 404]
never_ran = [{ status = 503, header = "X-Un", value = "1" }]
errors = "own_words"
[[route]]
name = "a"
class = "settle"
tenant = ["milford"]
path = "/eu"
method = "POST"
header = { name = "X-Kind", value = "eu" }
pools = ["new", "old"]
[[route]]
name = "b"
bay = 7
pools = ["old"]
"#;

pub fn problems(text: &str) -> Vec<Problem> {
    match read("f.toml", text) {
        Ok(_) => Vec::new(),
        Err(report) => report.problems().to_vec(),
    }
}

/// The replaced text, its replacement, the line and column of the problem, and the beginnings of its summary and of the
/// expected input.
pub type Case = (&'static str, &'static str, (usize, usize), &'static str, &'static str);

pub fn check(cases: &[Case]) {
    for (original, replacement, position, summary, expected) in cases {
        assert!(BASE.contains(original), "{original}");
        let found = problems(&BASE.replacen(original, replacement, 1));
        let blocks: Vec<&str> = found.iter().map(|p| p.block.as_str()).collect();
        assert_eq!(found.len(), 1, "{original} -> {replacement}\n{}", blocks.join("\n"));
        assert_eq!((found[0].line, found[0].column), *position, "{}", found[0].block);
        assert!(found[0].summary.starts_with(summary), "{summary}\n{}", found[0].block);
        assert!(found[0].expected.starts_with(expected), "{expected}\n{}", found[0].block);
    }
}
