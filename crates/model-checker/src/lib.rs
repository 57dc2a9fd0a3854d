//! Exhaustive exploration of small models of the engine.
//!
//! A [`Chooser`] replaces the decision module: it may request any policy action at any step. A [`Model`] replaces the
//! shell, the backends, the endpoint lists and the clock: every event that may happen next is explored. The monitors
//! check the invariants after every transition. The results hold for any policy, in models of that size.
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
