//! The built-in experiments.

/// Their names and texts.
pub const EXPERIMENTS: [(&str, &str); 12] = [
    ("calm", include_str!("../experiments/calm.toml")),
    ("rolling-restart", include_str!("../experiments/rolling-restart.toml")),
    ("herd-70", include_str!("../experiments/herd-70.toml")),
    ("all-killed", include_str!("../experiments/all-killed.toml")),
    ("zone-cut", include_str!("../experiments/zone-cut.toml")),
    ("one-way-cut", include_str!("../experiments/one-way-cut.toml")),
    ("list-dead-restart", include_str!("../experiments/list-dead-restart.toml")),
    ("replace-half-restart-half", include_str!("../experiments/replace-half-restart-half.toml")),
    ("frozen-10s", include_str!("../experiments/frozen-10s.toml")),
    ("old-list", include_str!("../experiments/old-list.toml")),
    ("hot-proxy", include_str!("../experiments/hot-proxy.toml")),
    ("example", include_str!("../experiments/example.toml")),
];

/// The text of the experiment of that name.
pub fn text(name: &str) -> Option<&'static str> {
    EXPERIMENTS.iter().find(|(known, _)| *known == name).map(|(_, text)| *text)
}

#[cfg(test)]
mod tests;
