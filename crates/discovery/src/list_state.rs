//! What the current discovery has sent, and until when the pool's list may be used without another answer.

use shaletide_balancer::{EndpointUpdate, PoolId};
use shaletide_net::{timeout, Driver};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;
use tracing::warn;

/// What the current discovery has sent so far, shared by the calls that are made to it.
#[derive(Debug, Default)]
pub(crate) struct ListState {
    /// The version of its last list; `None` until it has sent one.
    version: Cell<Option<u64>>,
    /// When it last answered a call.
    confirmed_at: Cell<Option<Instant>>,
    /// When the pool's list expires unless discovery answers before. `None` if no change can have been missed that counts as
    /// known.
    expires_at: Cell<Option<Instant>>,
    /// Whether the pool's list has expired, so that only a snapshot can restore it.
    has_expired: Cell<bool>,
    expiry_changed: Notify,
    list_received: Notify,
}

impl ListState {
    /// Returns the version of the last list; `None` until this discovery has sent one.
    pub(crate) fn version(&self) -> Option<u64> {
        self.version.get()
    }

    pub(crate) fn has_list(&self) -> bool {
        self.version.get().is_some()
    }

    /// Whether the pool's list has expired, so that only a snapshot can restore it.
    pub(crate) fn has_expired(&self) -> bool {
        self.has_expired.get()
    }

    /// Records a list that was applied.
    pub(crate) fn set_received(&self, version: u64) {
        self.version.set(Some(version));
        self.has_expired.set(false);
        self.set_confirmed();
        self.list_received.notify_one();
    }

    /// Records an answer that has all changes up to now: what earlier calls may have missed is known.
    pub(crate) fn set_confirmed(&self) {
        self.confirmed_at.set(Some(Instant::now()));
        self.set_expiry(None);
    }

    /// Forgets what the discovery before a move has sent.
    pub(crate) fn reset(&self) {
        self.version.set(None);
    }

    /// Waits until discovery has sent a list that has not expired.
    pub(crate) async fn wait_for_list(&self) {
        while !self.has_list() || self.has_expired() {
            self.list_received.notified().await;
        }
    }

    pub(crate) fn expires_at(&self) -> Option<Instant> {
        self.expires_at.get()
    }

    /// Sets when the pool's list expires unless discovery answers before.
    pub(crate) fn set_expiry(&self, at: Option<Instant>) {
        if self.expires_at.replace(at) != at {
            self.expiry_changed.notify_one();
        }
    }

    /// Sets that the pool's list expires at this time, unless it expires earlier or discovery answers before.
    pub(crate) fn expire_by(&self, at: Instant) {
        self.set_expiry(Some(self.expires_at.get().map_or(at, |earlier| earlier.min(at))));
    }

    /// Removes all backends of a pool each time its list expires: they may have been draining in discovery for the whole
    /// grace. The next snapshot adds those that are ready again. Never returns.
    pub(crate) async fn expire_lists(&self, driver: &Rc<Driver>, pool: PoolId) {
        loop {
            let Some(at) = self.expires_at.get() else {
                self.expiry_changed.notified().await;
                continue;
            };
            // If the startup itself took that long, the old list must not be used for even one turn of the event loop.
            if Instant::now() < at {
                tokio::select! {
                    () = timeout::sleep_until(at.into()) => {}
                    () = self.expiry_changed.notified() => {}
                }
                continue;
            }
            self.set_expiry(None);
            self.has_expired.set(true);
            warn!(
                "pool {}: removing all backends, as changes may have been missed that count as known; {}",
                driver.pool_name(pool),
                self.last_confirmation()
            );
            driver.update_endpoints(pool, EndpointUpdate::Snapshot, Vec::new());
        }
    }

    /// Returns a text for the log that says which version was confirmed last, and how long ago.
    pub(crate) fn last_confirmation(&self) -> String {
        match (self.version.get(), self.confirmed_at.get()) {
            (Some(version), Some(at)) => {
                format!("list version {version} was confirmed {} ms ago", at.elapsed().as_millis())
            }
            _ => "it has sent no list".to_string(),
        }
    }
}
