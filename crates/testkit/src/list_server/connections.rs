//! The connections of the discovery server, with a task for each.

use super::endpoint_list::Answer;
use super::{ListService, Shared, SilentCall};
use crate::http_stream::{BodyRule, HttpStream};
use shaletide_types::Micros;
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Longest wait of a long poll; a longer one is cut down to it.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Serves all watchers until the future is dropped.
pub async fn run(shared: Arc<Shared>, listeners: Vec<TcpListener>) {
    let mut accept_tasks = tokio::task::JoinSet::new();
    for (watcher, listener) in listeners.into_iter().enumerate() {
        if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
            accept_tasks.spawn(accept(shared.clone(), watcher, listener));
        }
    }
    while accept_tasks.join_next().await.is_some() {}
    std::future::pending::<()>().await;
}

async fn accept(shared: Arc<Shared>, watcher: usize, listener: tokio::net::TcpListener) {
    let mut calls = tokio::task::JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((tcp, _)) if calls.len() < 1024 => drop(calls.spawn(serve(shared.clone(), watcher, tcp))),
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
        while calls.try_join_next().is_some() {}
    }
}

async fn serve(shared: Arc<Shared>, watcher: usize, tcp: TcpStream) {
    let mut stream = HttpStream::new(tcp);
    loop {
        let received = tokio::time::timeout(IDLE_TIMEOUT, stream.read_message(BodyRule::FromHead)).await;
        let Ok(Some((request, _))) = received else { return };
        let Some(call) = Call::parse(&request.first) else {
            if stream.write(&render(404, "")).await.is_err() {
                return;
            }
            continue;
        };
        shared.list().calls += 1;
        let outcome = tokio::select! {
            outcome = outcome(&shared, watcher, &call) => outcome,
            () = stream.wait_closed() => return,
        };
        let written = match outcome {
            Outcome::Broken => {
                stream.reset_on_close();
                return;
            }
            Outcome::Failed => stream.write(&render(503, "")).await,
            Outcome::Answer(answer) => {
                let written = stream.write(&render(200, &answer.body)).await;
                if written.is_ok() {
                    shared.list().record_delivery(watcher, answer, shared.clock.now());
                    shared.delivered.notify_all();
                }
                written
            }
        };
        if written.is_err() {
            return;
        }
    }
}

fn render(status: u16, body: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: ");
    format!("{head}{}\r\n\r\n{body}", body.len()).into_bytes()
}

/// The parameters of a call.
#[derive(Debug, PartialEq, Eq)]
struct Call {
    after: Option<u64>,
    wait: Duration,
}

impl Call {
    /// Parses a request line. Returns `None` if it is not a call for the list.
    fn parse(request_line: &str) -> Option<Call> {
        let target = request_line.strip_prefix("GET ")?.split(' ').next()?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
            pair.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let wait = Duration::from_millis(value("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        (path == "/api/targets").then(|| Call { after: value("after"), wait })
    }
}

enum Outcome {
    Answer(Answer),
    Failed,
    Broken,
}

/// Waits for the outcome of a call. If this is cancelled, nothing was delivered.
async fn outcome(shared: &Shared, watcher: usize, call: &Call) -> Outcome {
    let mut state = shared.state.subscribe();
    let deadline = Instant::now() + call.wait;
    let wait_ends_at = shared.clock.now() + Micros(call.wait.as_micros() as u64);
    let silences = shared.silences.load(Ordering::SeqCst);
    loop {
        if shared.silences.load(Ordering::SeqCst) != silences {
            let silent = SilentCall { watcher, at: shared.clock.now(), wait_ends_at };
            shared.silent_calls.lock().unwrap_or_else(PoisonError::into_inner).push(silent);
            std::future::pending::<()>().await;
        }
        let service = state.borrow_and_update().1;
        match service {
            ListService::Failing => return Outcome::Failed,
            ListService::Broken => return Outcome::Broken,
            ListService::Silent => {
                if state.changed().await.is_err() {
                    return Outcome::Broken;
                }
            }
            ListService::Up => {
                let answer = shared.list().answer(watcher, call.after);
                if let Some(answer) = answer {
                    return Outcome::Answer(answer);
                }
                if tokio::time::timeout_at(deadline, state.changed()).await.is_err() {
                    return Outcome::Answer(shared.list().empty_delta());
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
