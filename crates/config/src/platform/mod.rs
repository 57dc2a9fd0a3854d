//! The platform's settings: to the balancer's configuration and the names that go with it, for the proxy and the
//! simulator's adapter, and to a whole configuration for the proxy.

mod error;
mod names;
mod node;
mod setting;
mod settings;
mod wire_names;

pub use error::SettingsError;
pub use names::{NamedEntry, Names};
pub use node::{has_drain_grace, operator, NodeIdentity};
pub use settings::read;

#[cfg(test)]
mod tests;
