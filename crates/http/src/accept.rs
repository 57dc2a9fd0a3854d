//! Accepts connections up to the limit and serves each one in its own task.

use crate::connection::Client;
use crate::limits::EXTRA_CONNECTIONS;
use crate::listener::accept_any;
use crate::serve::ServeEnd;
use crate::server::Server;
use shaletide_net::{accept_failure, AcceptFailure, Stream, SystemCall};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Turns of the event loop after which the first request on a new connection has been read, if it has arrived.
pub(crate) const READ_TURNS: usize = 4;
/// Number of consecutive accept failures after which every retry is delayed, whatever the error.
const MAX_IMMEDIATE_ACCEPTS: u32 = 64;
/// Time that evicted connections have to end before others are evicted.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after an accept that failed because of a shortage of system resources.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

impl Server {
    /// Accepts one connection, after evicting others if the limit is reached. Cancellation safe: if the future is dropped
    /// before it completes, no connection has been accepted.
    pub(crate) async fn accept(self: &Rc<Self>, listeners: &[TcpListener]) {
        while self.clients() >= self.max_clients + EXTRA_CONNECTIONS {
            // All of them may have been accepted in one turn and not been read yet: each may have sent a request.
            for _ in 0..READ_TURNS {
                while self.active() > self.max_clients && self.evict_one() {}
                if self.active() <= self.max_clients {
                    break;
                }
                tokio::task::yield_now().await;
            }
            self.log_full_before_ready();
            // Evicted connections need time to end. Evicting more would not free a slot sooner.
            let _ = tokio::time::timeout(EVICTION_INTERVAL, self.connection_ended.notified()).await;
        }
        match accept_any(listeners, self.next_connection.get()).await {
            Ok((tcp, _)) => {
                self.accept_failures.set(0);
                self.admit(tcp);
            }
            Err(error) => self.accept_failed(&error).await,
        }
    }

    /// Handles a failed accept. An error of a single connection is retried at once; a shortage of resources is retried after a
    /// delay, and one of descriptors after freeing one. No accept error is fatal.
    async fn accept_failed(self: &Rc<Self>, error: &std::io::Error) {
        self.driver.system_errors.log_and_count(self.driver.clock.now(), SystemCall::Accept, error);
        let failures = self.accept_failures.get().saturating_add(1);
        self.accept_failures.set(failures);
        match accept_failure(error) {
            AcceptFailure::Connection if failures < MAX_IMMEDIATE_ACCEPTS => return,
            AcceptFailure::Connection | AcceptFailure::SystemShortage => {}
            AcceptFailure::OutOfDescriptors => self.free_descriptor(),
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }

    /// Closes an idle connection to free its descriptor: a client's if one can be evicted, otherwise one to a backend.
    pub(crate) fn free_descriptor(&self) {
        if !self.evict_one() {
            self.driver.close_idle_connection(); // if there is none, a descriptor is freed when a connection ends
        }
    }

    /// Admits a connection and serves it in its own task, which ends with the connection.
    pub(crate) fn admit(self: &Rc<Self>, tcp: TcpStream) {
        if self.active() >= self.max_clients {
            self.evict_one();
        }
        self.counters.accepted.increment();
        let key = self.next_connection.get();
        self.next_connection.set(key + 1);
        let now = self.driver.clock.now();
        let client = Rc::new(Client::new(key, Stream::new(tcp), now, self.slots.clone()));
        client.trace_accepted();
        self.clients.borrow_mut().insert(key, client.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            let ServeEnd { reason, is_response_written } = server.serve(&client).await;
            server.record_close(&client, reason);
            client.release_slot();
            server.clients.borrow_mut().remove(&key);
            server.connection_ended.notify_one();
            if is_response_written && client.announced_close.get() {
                server.linger(&client).await;
            }
        });
    }
}
