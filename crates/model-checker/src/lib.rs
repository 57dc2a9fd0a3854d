//! Exhaustive exploration of the engine in small worlds.
//!
//! In place of the decision module stands a [`Chooser`] that may ask for anything at any step, and in place of
//! shell, backends, lists and clock a [`World`] in which whatever may happen next happens, each in turn. After every
//! move the rules' monitors are asked. What is found holds for whatever the module does, in worlds of that size.
#![forbid(unsafe_code)]

mod canonical;
mod cover;
mod enabled;
mod merges;
mod model;
mod models;
mod node;
mod report;
mod restarts;
mod search;
mod shell;
mod timeline;
mod transitions;
mod visited;

pub use canonical::Canonicalizer;
pub use cover::{unreachable_reason, AttemptPhase, Coverage, RequestPhase, Situation, Trigger};
pub use enabled::enabled;
pub use merges::{check_merges, MergeMismatch};
pub use model::{ticks, BackendSpec, ConnectionEvents, EventBudget, Model, RequestKind, TICK};
pub use models::{base_model, model_by_name, KEYED, MODELS, NON_IDEMPOTENT, SAFE};
pub use node::{Chooser, Input, Node};
pub use report::{table_row, TABLE_HEADER};
pub use restarts::{explore_restart_model, RestartBounds, RestartExploration, ShellMutant, Step};
pub use search::{explore, explore_from, Counterexample, Exploration, Limits, StartFn};
pub use shell::{ConnectionActivity, ListedBackend, Pending, Shell};
pub use timeline::timeline;
pub use transitions::{AfterResponse, Transition};
