//! Accepts connections, as many as there is room for, and has each served by a task of its own.

use crate::connection::Client;
use crate::listener::accept_any;
use crate::server::Server;
use shaletide_balancer::Micros;
use shaletide_net::Stream;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

/// Connections over the bound, out of the reserve: each is closed after its answer.
pub(crate) const EXTRA_CONNECTIONS: usize = 24;
/// Turns of the event loop after which what has come on a new connection is read: it is told, read, and served.
pub(crate) const READ_TURNS: usize = 4;
/// Lines about a failing listener come no faster.
const ACCEPT_LOG_INTERVAL: Micros = Micros(1_000_000);

impl Server {
    pub(crate) async fn accept(self: &Rc<Self>, listeners: &[TcpListener]) {
        while self.clients() >= self.max_clients + EXTRA_CONNECTIONS {
            // They were accepted in one go: none of them was read yet, and each may have a request.
            for _ in 0..READ_TURNS {
                while self.active() > self.max_clients && self.evict_one() {}
                if self.active() <= self.max_clients {
                    break;
                }
                tokio::task::yield_now().await;
            }
            // Those that were told to leave have to be given the time: telling more makes no room sooner.
            let _ = tokio::time::timeout(Duration::from_millis(20), self.connection_ended.notified()).await;
        }
        match accept_any(listeners, self.next_connection.get()).await {
            Ok((tcp, _)) => self.admit(tcp),
            Err(e) => {
                // Out of descriptors, or a client that left in the queue: never the end of the program.
                let made_room = self.evict_one() || self.host.make_room();
                let now = self.host.clock.now();
                if now - self.accept_logged.get() >= ACCEPT_LOG_INTERVAL {
                    self.accept_logged.set(now);
                    warn!("accept: {e}; {} clients, {} upstreams", self.clients(), self.host.upstreams());
                }
                if !made_room || e.kind() != std::io::ErrorKind::ConnectionAborted {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    pub(crate) fn admit(self: &Rc<Self>, tcp: TcpStream) {
        if self.active() >= self.max_clients {
            self.evict_one();
        }
        self.accepted.set(self.accepted.get() + 1);
        let key = self.next_connection.get();
        self.next_connection.set(key + 1);
        let (stream, idle_since) = (Stream::new(tcp), Cell::new(self.host.clock.now()));
        let client = Rc::new(Client::new(stream, idle_since, self.counters.clone()));
        self.clients.borrow_mut().insert(key, client.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            let whole = server.serve(&client).await;
            client.release_slot();
            server.clients.borrow_mut().remove(&key);
            server.connection_ended.notify_one();
            if whole && client.announced_close.get() {
                server.linger(&client).await;
            }
        });
    }
}
