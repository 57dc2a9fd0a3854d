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

/// How long connections are still accepted after SIGTERM: clients may hear of it up to 0.4 s later.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);
/// The server returns at most this long after SIGTERM plus the longest deadline. SIGKILL follows 0.2 s later at the
/// soonest, a reserve for a loaded machine.
const STOP_MARGIN: Micros = Micros(500_000);
/// The part of that margin that is kept for writing the last responses.
const FLUSH_TIME: Micros = Micros(100_000);
/// Accepts of a listener's queue in one turn of the event loop.
const MAX_BACKLOG_ACCEPTS: usize = 4096;
/// How often idle connections are closed during shutdown.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A connection without a request is not closed before this age: its request may be on the way.
const NEW_CONNECTION_GRACE: Micros = Micros(300_000);

impl Server {
    /// Accepts and serves on the listeners that come in until `stop` completes, then answers all accepted requests and
    /// returns: at once where there is neither a listener nor a connection.
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
        // A listener that came in just now may have connections in its queue already.
        incoming.close();
        listeners.extend(std::iter::from_fn(|| incoming.try_recv().ok()));
        self.shut_down(listeners).await;
    }

    /// Accepts for a little longer, answers all accepted requests and returns.
    async fn shut_down(self: Rc<Self>, mut listeners: Vec<TcpListener>) {
        let begun = self.driver.clock.now();
        let rules = self.rules();
        // Requests accepted by earlier rules may have later deadlines; where the time to stop is limited, they are
        // answered before it ends.
        let longest = rules.longest_deadline().max(self.latest_deadline.get() - begun);
        let end = begun + longest.min(rules.max_stop_duration.unwrap_or(longest)) + STOP_MARGIN;
        let deadline = end - FLUSH_TIME;
        self.stop_begun.set(Some(begun));
        self.stop_deadline.set(Some(deadline));
        self.accept_after_stop(&listeners).await;
        self.answer_open_requests(&mut listeners, deadline, rules.max_retry_after).await;
    }

    /// Accepts for [`ACCEPT_AFTER_STOP`], and closes idle connections meanwhile.
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

    /// Serves the connections in the accept queues, and returns when all requests have their responses. A client that
    /// sends half of a request, or does not read its response, does not delay that: at the deadline open requests are given
    /// up once; then their responses have [`FLUSH_TIME`], and at least some turns of the event loop, as a process that was
    /// not scheduled for long may find both times over. A listener is closed only once its queue is empty.
    async fn answer_open_requests(
        self: &Rc<Self>, listeners: &mut Vec<TcpListener>, deadline: Time, retry_after: Micros,
    ) {
        let mut flush_until: Option<Time> = None;
        loop {
            let now = self.driver.clock.now();
            if flush_until.is_none() && now >= deadline {
                flush_until = Some(now + FLUSH_TIME); // requests that come later have no later deadline
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

    /// Reports a violation if a request that was read has no response as the program ends.
    fn check_all_answered(&self) {
        let clients = self.clients.borrow();
        let is_unanswered = |client: &&Rc<Client>| client.busy.get() && !client.stream.peer_closed();
        let open = clients.values().filter(is_unanswered).count();
        if open > 0 {
            self.driver.report_violation(&format!("the program ends while {open} requests have no answer"));
        }
    }

    /// Admits the connections in a listener's accept queue up to the limit. Whether the queue is empty. The kernel itself
    /// is asked: the event loop may not have heard of the last ones.
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
                    self.driver.system_errors.note(self.driver.clock.now(), SystemCall::Accept, &e);
                    match accept_failure(&e) {
                        AcceptFailure::Connection => {}
                        AcceptFailure::SystemShortage => return false, // tried again soon
                        AcceptFailure::OutOfDescriptors => {
                            self.free_descriptor();
                            return false; // tried again when a connection has ended
                        }
                    }
                }
            }
        }
        false
    }

    /// Admits a connection that the event loop does not know yet.
    fn admit_accepted(self: &Rc<Self>, accepted: std::net::TcpStream) {
        match accepted.set_nonblocking(true).and_then(|()| TcpStream::from_std(accepted)) {
            Ok(tcp) => self.admit(tcp),
            // The event loop has no memory for it: it cannot be served.
            Err(e) => self.driver.system_errors.note(self.driver.clock.now(), SystemCall::Register, &e),
        }
    }

    /// Closes the connections that have no request open, except new ones. The others end with their response.
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
