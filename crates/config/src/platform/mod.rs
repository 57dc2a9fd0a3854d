//! Reads the platform's settings: into the balancer's configuration and its names, for the proxy and the simulator's
//! adapter, and into a whole configuration for the proxy.

mod error;
mod names;
mod node;
mod setting;
mod settings;
mod wire_names;

pub use error::SettingsError;
pub use names::{NamedEntry, Names};
pub use node::{has_drain_grace, operator_config, NodeIdentity};
pub use settings::read;

#[cfg(test)]
mod tests;
