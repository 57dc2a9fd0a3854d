//! Discovery's sockets: a task for each connection.

use super::endpoint_list::Answer;
use super::{ListService, Shared};
use crate::wire::{BodyRule, Wire};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// No watch waits longer, whatever it asks for.
const LONGEST: Duration = Duration::from_secs(60);
/// A connection at rest is closed after so long.
const IDLE: Duration = Duration::from_secs(120);

/// Serves all watchers until it is dropped.
pub async fn run(shared: Arc<Shared>, listeners: Vec<TcpListener>) {
    let mut doors = tokio::task::JoinSet::new();
    for (watcher, listener) in listeners.into_iter().enumerate() {
        if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
            doors.spawn(accept(shared.clone(), watcher, listener));
        }
    }
    while doors.join_next().await.is_some() {}
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
    let mut wire = Wire::new(tcp);
    loop {
        let next = tokio::time::timeout(IDLE, wire.message(BodyRule::AsSaid)).await;
        let Ok(Some((request, _))) = next else { return };
        let Some(call) = Call::read(&request.first) else {
            if wire.write(&render(404, "")).await.is_err() {
                return;
            }
            continue;
        };
        shared.book().calls += 1;
        let outcome = tokio::select! {
            outcome = outcome(&shared, watcher, &call) => outcome,
            () = wire.ended() => return,
        };
        let done = match outcome {
            Outcome::Broken => {
                wire.break_off();
                return;
            }
            Outcome::Failed => wire.write(&render(503, "")).await,
            Outcome::Answer(answer) => {
                let done = wire.write(&render(200, &answer.body)).await;
                if done.is_ok() {
                    shared.book().tell(watcher, answer, shared.clock.now());
                    shared.written.notify_all();
                }
                done
            }
        };
        if done.is_err() {
            return;
        }
    }
}

fn render(status: u16, body: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: ");
    format!("{head}{}\r\n\r\n{body}", body.len()).into_bytes()
}

/// What a call asks for.
#[derive(Debug, PartialEq, Eq)]
struct Call {
    after: Option<u64>,
    wait: Duration,
}

impl Call {
    /// `None` where it asks for something else.
    fn read(first: &str) -> Option<Call> {
        let target = first.strip_prefix("GET ")?.split(' ').next()?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
            pair.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let wait = Duration::from_millis(value("wait_ms").unwrap_or(0)).min(LONGEST);
        (path == "/api/targets").then(|| Call { after: value("after"), wait })
    }
}

enum Outcome {
    Answer(Answer),
    Failed,
    Broken,
}

/// What a call comes to, once it is known. Dropped midway, nothing was told.
async fn outcome(shared: &Shared, watcher: usize, call: &Call) -> Outcome {
    let mut news = shared.news.subscribe();
    let until = Instant::now() + call.wait;
    loop {
        let service = news.borrow_and_update().1;
        match service {
            ListService::Failing => return Outcome::Failed,
            ListService::Broken => return Outcome::Broken,
            ListService::Silent => {
                if news.changed().await.is_err() {
                    return Outcome::Broken;
                }
            }
            ListService::Up => {
                let answer = shared.book().answer(watcher, call.after);
                if let Some(answer) = answer {
                    return Outcome::Answer(answer);
                }
                if tokio::time::timeout_at(until, news.changed()).await.is_err() {
                    return Outcome::Answer(shared.book().nothing());
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
