//! The server's main loop and its graceful shutdown.

use crate::accept::READ_TURNS;
use crate::connection::Client;
use crate::limits::EXTRA_CONNECTIONS;
use crate::server::Server;
use shaletide_balancer::{Micros, Time};
use shaletide_net::{accept_failure, AcceptFailure, SystemCall};
use socket2::SockRef;
use std::future::Future;
use std::io::ErrorKind;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Time during which connections are still accepted after SIGTERM. Clients may learn of the shutdown up to 0.4 s later.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);
/// The server returns within this time after SIGTERM plus the longest deadline. SIGKILL follows at least 0.2 s later; that
/// is the reserve for a loaded machine.
const STOP_MARGIN: Micros = Micros(500_000);
/// The part of [`STOP_MARGIN`] that is reserved for writing the last responses.
const FLUSH_TIME: Micros = Micros(100_000);
/// Maximum number of connections accepted from one listener's queue in one turn of the event loop.
const MAX_BACKLOG_ACCEPTS: usize = 4096;
/// Interval at which idle connections are closed during shutdown.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum age at which a connection without a request is closed, as its first request may still be on its way.
const NEW_CONNECTION_GRACE: Micros = Micros(300_000);

impl Server {
    /// Serves on the listeners received from `incoming` until `stop` completes, then answers all accepted requests and
    /// returns. Returns at once if there is neither a listener nor a connection.
    pub async fn run(
        self: Rc<Self>, mut incoming: mpsc::Receiver<TcpListener>, stop: impl Future<Output = ()>,
    ) {
        let mut listeners = Vec::new();
        let mut stop = pin!(stop);
        loop {
            tokio::select! {
                Some(listener) = incoming.recv() => listeners.push(listener),
                _ = self.accept(&listeners) => {}
                _ = &mut stop => break,
            }
        }
        // A listener that was just received may already have connections in its queue.
        incoming.close();
        listeners.extend(std::iter::from_fn(|| incoming.try_recv().ok()));
        self.shut_down(listeners).await;
    }

    /// Accepts connections for [`ACCEPT_AFTER_STOP`], answers all accepted requests and returns.
    async fn shut_down(self: Rc<Self>, mut listeners: Vec<TcpListener>) {
        let begun = self.driver.clock.now();
        let rules = self.rules();
        // Requests accepted by earlier rules may have later deadlines. If the duration of the shutdown is limited, they are
        // answered before it ends.
        let longest = rules.longest_deadline().max(self.latest_deadline.get() - begun);
        let end = begun + longest.min(rules.max_stop_duration.unwrap_or(longest)) + STOP_MARGIN;
        let deadline = end - FLUSH_TIME;
        self.stop_begun.set(Some(begun));
        self.stop_deadline.set(Some(deadline));
        self.accept_after_stop(&listeners).await;
        self.answer_open_requests(&mut listeners, deadline, rules.max_retry_after).await;
    }

    /// Accepts connections for [`ACCEPT_AFTER_STOP`] and closes idle ones in the meantime.
    async fn accept_after_stop(self: &Rc<Self>, listeners: &[TcpListener]) {
        let mut idle_check = tokio::time::interval(IDLE_CHECK_INTERVAL);
        let mut accept_end = pin!(tokio::time::sleep(ACCEPT_AFTER_STOP));
        while !listeners.is_empty() {
            tokio::select! {
                _ = self.accept(listeners) => {}
                _ = idle_check.tick() => self.close_idle(),
                _ = &mut accept_end => break,
            }
        }
    }

    /// Serves the connections in the accept queues and returns when all requests have their responses. A client that sends
    /// an incomplete request or does not read its response cannot delay this: at the deadline, the open requests are given
    /// up, once. Their responses then have [`FLUSH_TIME`] to be written, and at least [`READ_TURNS`] turns of the event loop,
    /// because both times may have passed while the process was not scheduled. A listener is closed only when its queue is
    /// empty.
    async fn answer_open_requests(
        self: &Rc<Self>, listeners: &mut Vec<TcpListener>, deadline: Time, retry_after: Micros,
    ) {
        let mut flush_until: Option<Time> = None;
        loop {
            let now = self.driver.clock.now();
            if flush_until.is_none() && now >= deadline {
                flush_until = Some(now + FLUSH_TIME); // requests that arrive later have no later deadline
                self.driver.give_up_all(retry_after);
            }
            self.close_idle();
            listeners.retain(|listener| !self.drain_backlog(listener));
            if self.clients() + self.lingering.get() == 0 && listeners.is_empty() {
                return;
            }
            if flush_until.is_some_and(|until| now >= until) {
                for _ in 0..READ_TURNS {
                    tokio::task::yield_now().await;
                }
                return self.check_all_answered();
            }
            let _ = tokio::time::timeout(IDLE_CHECK_INTERVAL, self.connection_ended.notified()).await;
        }
    }

    /// Reports a violation if a request that was read has no response when the process exits.
    fn check_all_answered(&self) {
        let clients = self.clients.borrow();
        let is_unanswered = |client: &&Rc<Client>| client.busy.get() && !client.stream.peer_closed();
        let open = clients.values().filter(is_unanswered).count();
        if open > 0 {
            self.driver
                .report_violation(&format!("the process exits while {open} requests have no response"));
        }
    }

    /// Admits the connections in a listener's accept queue up to the limit. Returns whether the queue is empty. Calls
    /// `accept` directly, because the event loop may not have been notified of the most recent connections.
    fn drain_backlog(self: &Rc<Self>, listener: &TcpListener) -> bool {
        let socket = SockRef::from(listener);
        for _ in 0..MAX_BACKLOG_ACCEPTS {
            if self.clients() >= self.max_clients + EXTRA_CONNECTIONS {
                return false;
            }
            match socket.accept() {
                Ok((accepted, _)) => self.admit_accepted(accepted.into()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) => {
                    self.driver.system_errors.log_and_count(self.driver.clock.now(), SystemCall::Accept, &e);
                    match accept_failure(&e) {
                        AcceptFailure::Connection => {}
                        AcceptFailure::SystemShortage => return false, // retried at the next check
                        AcceptFailure::OutOfDescriptors => {
                            self.free_descriptor();
                            return false; // retried when a connection has ended
                        }
                    }
                }
            }
        }
        false
    }

    /// Registers a connection with the event loop and admits it.
    fn admit_accepted(self: &Rc<Self>, accepted: std::net::TcpStream) {
        match accepted.set_nonblocking(true).and_then(|()| TcpStream::from_std(accepted)) {
            Ok(tcp) => self.admit(tcp),
            // The connection cannot be served: the kernel has no memory to register it.
            Err(e) => {
                self.driver.system_errors.log_and_count(self.driver.clock.now(), SystemCall::Register, &e)
            }
        }
    }

    /// Closes the connections without an open request, except new ones. The others end after their response.
    fn close_idle(&self) {
        let now = self.driver.clock.now();
        for client in self.clients.borrow().values() {
            let is_new = !client.answered.get() && now - client.idle_since.get() < NEW_CONNECTION_GRACE;
            if !client.busy.get() && !is_new {
                client.close_requested.notify_one();
            }
        }
    }
}
