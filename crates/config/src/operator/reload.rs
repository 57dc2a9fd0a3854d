//! What of a changed file takes effect only at a restart.

use super::types::Operator;
use shaletide_balancer::Idempotency;
use std::collections::{HashMap, HashSet};
use std::path::Path;

impl Operator {
    /// What the file `next` says otherwise than this one and cannot be had without a restart, in words for a log:
    /// each begins with the key. All else of `next` takes effect at once.
    pub fn needs_restart(&self, next: &Operator) -> Vec<String> {
        let mut changes = Vec::new();
        let (old, new) = (&self.proxy, &next.proxy);
        let keys = [
            ("proxy.name", old.name != new.name),
            ("proxy.zone", old.zone != new.zone),
            ("proxy.proxies", old.proxies != new.proxies),
            ("proxy.position", old.position != new.position),
            ("proxy.seed", old.seed != new.seed),
            ("record.path", self.record_path() != next.record_path()),
            ("control.socket", self.control != next.control),
            ("limits.descriptors", self.limits.descriptors != next.limits.descriptors),
        ];
        changes
            .extend(keys.into_iter().filter(|(_, other)| *other).map(|(key, _)| format!("{key}: changed")));
        for address in self.listeners.iter().filter(|a| !next.listeners.contains(a)) {
            changes.push(format!("listener.address: {address} is gone"));
        }
        for address in next.listeners.iter().filter(|a| !self.listeners.contains(a)) {
            changes.push(format!("listener.address: {address} is new"));
        }
        let effects = next.effects();
        for (name, effect) in self.effects() {
            match effects.get(name) {
                None => changes.push(format!("class.name: {name} is gone")),
                Some(other) if *other != effect => changes.push(format!("class.effect: changed of {name}")),
                Some(_) => {}
            }
        }
        let records: HashMap<&str, _> = next.classes.iter().map(|c| (c.name.as_str(), c.record)).collect();
        for class in &self.classes {
            if records.get(class.name.as_str()).is_some_and(|record| *record != class.record) {
                changes.push(format!("class.record: changed of {}", class.name));
            }
        }
        let tenants: HashSet<&String> = next.tenants.iter().collect();
        let gone = self.tenants.iter().filter(|name| !tenants.contains(name));
        changes.extend(gone.map(|name| format!("tenant.name: {name} is gone")));
        changes.sort();
        changes
    }

    fn record_path(&self) -> Option<&Path> {
        self.record.as_ref().map(|record| record.path.as_path())
    }

    /// The effect of each class by its name.
    fn effects(&self) -> HashMap<&str, Idempotency> {
        let names = self.classes.iter().map(|c| c.name.as_str());
        names.zip(self.config.classes.iter().map(|c| c.idempotency)).collect()
    }
}
