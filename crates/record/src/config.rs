//! The recorder's configuration.

use shaletide_types::Micros;
use std::collections::BTreeMap;

/// The recorder's settings: the recorded classes, the retention of keys, the wait for intents, and the memory bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordConfig {
    /// How long a served key is remembered, counted from the commit of the row that marks it as served. Keys in flight or in
    /// doubt do not expire.
    pub keep: Micros,
    /// How long an attempt waits for its intent to be durable. It should be well below the deadlines of the classes.
    pub intent_timeout: Micros,
    /// The least `Retry-After` of a rejected request; longer while the store is down and may be back later than that.
    pub retry_after: Micros,
    /// The rules of the recorded classes, by name. A class that is not listed is neither recorded nor delayed.
    pub classes: BTreeMap<String, ClassRule>,
    /// The memory bounds.
    pub bounds: Bounds,
}

impl RecordConfig {
    /// Returns whether an attempt of that class may be sent only after its intent is durable.
    pub fn requires_intent(&self, class: &str) -> bool {
        self.classes.get(class).is_some_and(|rule| rule.requires_intent)
    }
}

/// How the requests of a class are recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassRule {
    /// No byte of an attempt is sent before its intent is durable, and keys are unique. Accepted requests of such a class are
    /// always recorded; facts about requests of other classes are dropped when the queue is full.
    pub requires_intent: bool,
    /// How a request without a key is handled if the class requires intents.
    pub without_key: WithoutKey,
}

/// How a request without a key is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutKey {
    /// The request is rejected; the client has to send a key.
    Reject,
    /// The request is sent and recorded without a key. A repeat of it cannot be recognized.
    Record,
}

/// Bounds on what is kept in memory. When a bound is reached, requests are rejected (503), with these exceptions: a key that
/// is too long is rejected with 400; beyond `served`, the oldest keys are left to the store, whose constraint rejects their
/// repeats as well; beyond the bounds of droppable facts, facts are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of attempts that wait for their intent to be durable.
    pub awaiting_intent: usize,
    /// Maximum number of open requests in classes that require intents, and likewise of unsettled keys (requested, in flight,
    /// in doubt, being freed).
    pub unsettled: usize,
    /// Maximum number of served keys. Each takes 16 bytes and the overhead of an ordered set.
    pub served: usize,
    /// Maximum length of a key, in bytes.
    pub key_bytes: usize,
    /// Maximum number of droppable facts that are not durable yet.
    pub droppable_facts: usize,
    /// Maximum total size of the droppable facts that are not durable yet, in bytes.
    pub droppable_bytes: usize,
    /// Number of non-droppable facts that are not durable yet at which new requests are rejected.
    pub required_facts: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            awaiting_intent: 1_024,
            unsettled: 16_384,
            served: 1_000_000,
            key_bytes: 1_024,
            droppable_facts: 4_096,
            droppable_bytes: 1 << 20,
            required_facts: 65_536,
        }
    }
}

impl Default for RecordConfig {
    /// Keeps keys for a day, waits 50 ms for an intent, has a `Retry-After` of 1 s, and records no class.
    fn default() -> RecordConfig {
        RecordConfig {
            keep: Micros(86_400_000_000),
            intent_timeout: Micros(50_000),
            retry_after: Micros(1_000_000),
            classes: BTreeMap::new(),
            bounds: Bounds::default(),
        }
    }
}
