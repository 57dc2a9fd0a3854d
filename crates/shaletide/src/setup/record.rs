//! The store of record's part of the setup.

use shaletide_config::operator::{self, ClassConfig, OperatorConfig, RecordMode};
use shaletide_record::{ClassRule, RecordConfig, WithoutKey};
use std::path::PathBuf;

/// The settings of the store of record.
#[derive(Clone, Debug)]
pub struct RecordSetup {
    /// The store's file.
    pub path: PathBuf,
    /// Which classes are recorded, and for how long rows are kept.
    pub config: RecordConfig,
    /// The digest of the operators' file.
    pub digest: String,
}

/// Returns the settings in the operators' file; `digest` is the file's digest.
pub(super) fn record_setup(operator: &OperatorConfig, digest: String) -> Option<RecordSetup> {
    let store = operator.record.as_ref()?;
    let classes = operator.classes.iter().filter_map(|class| Some((class.name.clone(), class_rule(class)?)));
    let config = RecordConfig {
        keep: store.retention,
        intent_timeout: store.intent_timeout,
        retry_after: store.retry_after,
        classes: classes.collect(),
        ..RecordConfig::default()
    };
    Some(RecordSetup { path: store.path.clone(), config, digest })
}

/// Returns how requests of a class are recorded; `None` if they are not.
fn class_rule(class: &ClassConfig) -> Option<ClassRule> {
    match class.record {
        RecordMode::None => None,
        RecordMode::Facts => Some(ClassRule { requires_intent: false, without_key: WithoutKey::Record }),
        RecordMode::Intent { without_key: operator::WithoutKey::Reject } => {
            Some(ClassRule { requires_intent: true, without_key: WithoutKey::Reject })
        }
        RecordMode::Intent { without_key: operator::WithoutKey::Record } => {
            Some(ClassRule { requires_intent: true, without_key: WithoutKey::Record })
        }
    }
}
