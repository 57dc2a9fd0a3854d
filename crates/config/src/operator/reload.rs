//! Finds the changes of a file that take effect only after a restart.

use super::types::{OperatorConfig, RecordMode};
use shaletide_balancer::Idempotency;
use std::collections::{HashMap, HashSet};
use std::path::Path;

impl OperatorConfig {
    /// Returns the changes in `next` that need a restart, as sorted texts for the log; each begins with its key. All other
    /// changes take effect at once.
    pub fn needs_restart(&self, next: &OperatorConfig) -> Vec<String> {
        let mut changes = self.changed_keys(next);
        self.push_listener_changes(next, &mut changes);
        self.push_class_changes(next, &mut changes);
        let tenants: HashSet<&String> = next.tenants.iter().collect();
        for name in self.tenants.iter().filter(|name| !tenants.contains(name)) {
            changes.push(format!("tenant.name: {name} was removed"));
        }
        changes.sort();
        changes
    }

    fn changed_keys(&self, next: &OperatorConfig) -> Vec<String> {
        let old = &self.proxy;
        let new = &next.proxy;
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
        let changed = keys.into_iter().filter(|(_, is_changed)| *is_changed);
        changed.map(|(key, _)| format!("{key}: changed")).collect()
    }

    fn push_listener_changes(&self, next: &OperatorConfig, changes: &mut Vec<String>) {
        for address in self.listeners.iter().filter(|address| !next.listeners.contains(address)) {
            changes.push(format!("listener.address: {address} was removed"));
        }
        for address in next.listeners.iter().filter(|address| !self.listeners.contains(address)) {
            changes.push(format!("listener.address: {address} was added"));
        }
    }

    fn push_class_changes(&self, next: &OperatorConfig, changes: &mut Vec<String>) {
        let next_idempotency = next.idempotency_by_name();
        for (name, idempotency) in self.idempotency_by_name() {
            match next_idempotency.get(name) {
                None => changes.push(format!("class.name: {name} was removed")),
                Some(other) if *other != idempotency => {
                    changes.push(format!("class.effect: changed for {name}"));
                }
                Some(_) => {}
            }
        }
        let next_record: HashMap<&str, RecordMode> =
            next.classes.iter().map(|class| (class.name.as_str(), class.record)).collect();
        for class in &self.classes {
            if next_record.get(class.name.as_str()).is_some_and(|record| *record != class.record) {
                changes.push(format!("class.record: changed for {}", class.name));
            }
        }
    }

    fn record_path(&self) -> Option<&Path> {
        self.record.as_ref().map(|record| record.path.as_path())
    }

    fn idempotency_by_name(&self) -> HashMap<&str, Idempotency> {
        let names = self.classes.iter().map(|class| class.name.as_str());
        names.zip(self.balancer.classes.iter().map(|class| class.idempotency)).collect()
    }
}
