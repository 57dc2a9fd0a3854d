//! Serves the requests of one connection until it ends.

use crate::connection::Client;
use crate::server::Server;
use crate::timer::Timer;
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use shaletide_net::span;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// So many more that were answered and ended, out of the reserve too: what they still send is read for so long.
const MAX_LINGERING: usize = 16;
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest head, to which hyper holds a connection's buffer.
const MAX_HEAD: usize = 16 * 1024;
/// A connection that was told to end and has not is cut after this time: its client reads nothing.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

impl Server {
    /// Its last answer is on its way: it holds no place any more, but is not reset at once for what its client sent
    /// behind its request. That could take the answer along.
    pub(crate) async fn linger(&self, client: &Client) {
        if self.lingering.get() < MAX_LINGERING {
            self.lingering.set(self.lingering.get() + 1);
            let _ = tokio::time::timeout(LINGER_TIMEOUT, client.stream.drain()).await;
            self.lingering.set(self.lingering.get() - 1);
            self.connection_ended.notify_one();
        }
    }

    /// Whether it ended after its last answer, all of which was written.
    pub(crate) async fn serve(self: &Rc<Self>, client: &Rc<Client>) -> bool {
        let service = service_fn(|request| async {
            client.busy.set(true);
            let answer = self.answer(client, request).await;
            client.answered.set(true);
            client.announced_close.set(answer.headers().contains_key(CONNECTION));
            client.idle_since.set(self.host.clock.now());
            client.stream.mark_idle();
            client.busy.set(false);
            Ok::<_, Infallible>(answer)
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD).timer(Timer).header_read_timeout(span(self.rules().head_timeout));
        let mut conn = pin!(builder.serve_connection(client.stream.clone(), service));
        let mut cut = pin!(tokio::time::sleep(Duration::MAX));
        loop {
            tokio::select! {
                ended = conn.as_mut() => return ended.is_ok(),
                // Asked as the time is up: a request that came since then is owed its answer, and that its way out.
                _ = cut.as_mut(), if client.evicted.get() => {
                    if !client.busy.get() && span(self.host.clock.now() - client.idle_since.get()) >= CLOSE_TIMEOUT {
                        return false;
                    }
                    cut.as_mut().reset(tokio::time::Instant::now() + CLOSE_TIMEOUT);
                }
                _ = client.close_requested.notified() => {
                    if client.evicted.get() {
                        cut.as_mut().reset(tokio::time::Instant::now() + CLOSE_TIMEOUT);
                    }
                    let idle = !client.busy.get() && !client.stream.has_unread_bytes();
                    if client.evicted.get() && !client.proven.get() && idle {
                        return false; // nothing is owed on it
                    }
                    // A request that has just come is answered first; `answer` then ends the connection.
                    if client.busy.get() || !client.stream.has_pending_input() {
                        conn.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
