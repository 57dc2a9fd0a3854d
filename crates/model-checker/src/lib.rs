//! Exhaustive exploration of the engine in small worlds.
//!
//! In place of the decision module stands a [`Chooser`] that may ask for anything at any step, and in place of
//! shell, backends, lists and clock a [`World`] in which whatever may happen next happens, each in turn. After every
//! move the rules' monitors are asked. What is found holds for whatever the module does, in worlds of that size.
#![forbid(unsafe_code)]

mod canon;
mod cover;
mod enabled;
mod merges;
mod moves;
mod node;
mod report;
mod restarts;
mod search;
mod shell;
mod timeline;
mod visited;
mod world;
mod worlds;

pub use canon::Canon;
pub use cover::{why_not, At, Cover, Owed, Situation, What};
pub use enabled::enabled;
pub use merges::{merges, Unlike};
pub use moves::{After, Move};
pub use node::{Chooser, Input, Node};
pub use report::{row, HEAD};
pub use restarts::{restarts, FoundRestarts, Restarts, ShellMutant, Step};
pub use search::{explore, explore_from, Counterexample, Found, Limits, Start};
pub use shell::{ConnectionActivity, Listed, Pending, Shell};
pub use timeline::timeline;
pub use world::{ticks, BoxSpec, Kind, News, Traffic, World, TICK};
pub use worlds::{base, named, FREE, KEYED, UNSAFE, WORLDS};
