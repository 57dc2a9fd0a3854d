//! What the operator chooses.

use shaletide_types::Micros;
use std::collections::BTreeMap;

/// What is recorded, how long keys are kept, how long an attempt waits for its intent, and the bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordConfig {
    /// How long a served key is remembered, counted from the commit of its end. Keys in flight or in doubt are
    /// kept until they are neither.
    pub keep: Micros,
    /// How long an attempt waits for its intent to be durable; well inside the deadlines of its class.
    pub intent_timeout: Micros,
    /// The `Retry-After` of a rejected request, where nothing better is known.
    pub retry_after: Micros,
    /// Classes by name. One that is not named is neither recorded nor delayed.
    pub classes: BTreeMap<String, ClassRule>,
    /// What may be kept in memory.
    pub bounds: Bounds,
}

impl RecordConfig {
    /// No attempt of that class may be sent before its intent is durable.
    pub fn requires_intent(&self, class: &str) -> bool {
        self.classes.get(class).is_some_and(|rule| rule.requires_intent)
    }
}

/// What is done with the requests of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassRule {
    /// No byte is sent before its intent is durable, and its keys are unique. Such a class is recorded in any
    /// case; another as far as the queue has room.
    pub requires_intent: bool,
    /// What becomes of a request without a key, where an intent is needed.
    pub without_key: WithoutKey,
}

/// What becomes of a request without a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutKey {
    /// It is rejected: the client is to send one.
    Refuse,
    /// It is sent, and recorded as one without a key: a repeat of it cannot be recognized.
    Record,
}

/// What may be kept in memory. A bound that is reached rejects requests (503), except that of served keys: the oldest are
/// then left to the store, whose constraint rejects them as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Requests that wait for their intent to be durable.
    pub awaiting_intent: usize,
    /// Open requests in classes that need an intent, and as many keys that are not settled (requested, in flight, in
    /// doubt, being freed).
    pub unsettled: usize,
    /// Served keys, 16 bytes each and what an ordered set of them costs.
    pub served: usize,
    /// Bytes in a key.
    pub key_bytes: usize,
    /// Facts that may be dropped and are not durable yet.
    pub droppable_facts: usize,
    /// Their bytes.
    pub droppable_bytes: usize,
    /// Facts that must not be lost and are not durable yet, beyond which nothing new is taken.
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
    /// A day, 50 ms, 1 s, no class.
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
