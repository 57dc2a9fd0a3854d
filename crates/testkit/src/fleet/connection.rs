//! A connection to a backend: requests in turn, each answered as the backend decides.

use super::backend::{Backend, Decision, Open};
use crate::fault::Behaviour;
use crate::wire::{BodyRule, Wire};
use crate::{Answer, Ended, Message, Sending};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Whether a connection takes another request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Then {
    Next,
    Ends,
}

/// Serves a connection until either side ends it or the backend dies; then it is reset.
pub async fn serve(stand: Rc<Backend>, tcp: TcpStream, mut deaths: watch::Receiver<usize>) {
    let mut wire = Wire::new(tcp);
    tokio::select! {
        _ = deaths.changed() => wire.break_off(),
        () = requests(&stand, &mut wire) => {}
    }
    drop(wire); // the count is of those that are up
    stand.connected(false);
}

async fn requests(stand: &Rc<Backend>, wire: &mut Wire) {
    loop {
        let next = tokio::time::timeout(stand.spec.idle_timeout, wire.message(BodyRule::AsSaid)).await;
        let Ok(Some((request, came))) = next else { return };
        let path = request.first.split(' ').nth(1).unwrap_or("");
        let then = if path.starts_with("/-/") {
            let (head, body) = Answer::default().render(Vec::new(), "GET", false);
            written(wire.write(&[head, body].concat()).await)
        } else {
            let (decision, open) = stand.arrive(&request, came);
            answer(stand, wire, &request, decision, open).await
        };
        if then == Then::Ends {
            return;
        }
    }
}

fn written(done: std::io::Result<()>) -> Then {
    if done.is_ok() {
        Then::Next
    } else {
        Then::Ends
    }
}

/// Sees a request to its end. Dropped midway it ends as cancelled, or with the backend.
async fn answer(
    stand: &Rc<Backend>, wire: &mut Wire, request: &Message, decision: Decision, mut open: Open,
) -> Then {
    match decision {
        Decision::Serve(done) => {
            tokio::select! {
                _ = done => {}
                () = wire.ended() => return Then::Ends,
            }
            let behaviour = stand.behaviour();
            let (then, how) = send(stand, wire, request, &behaviour).await;
            open.ends(how);
            then
        }
        Decision::TurnAway(status) => {
            let away = Answer::status(status).with("X-Unprocessed", "1").body("");
            open.ends(Ended::TurnedAway);
            written(write(wire, request, &away).await)
        }
        Decision::Fail => {
            open.ends(Ended::Failed);
            written(write(wire, request, &Answer::status(500).body("failed\n")).await)
        }
        Decision::Hang => {
            open.ends(Ended::Hung);
            wire.ended().await;
            Then::Ends
        }
        Decision::Reset => {
            open.ends(Ended::Reset);
            wire.break_off();
            Then::Ends
        }
    }
}

async fn write(wire: &mut Wire, request: &Message, answer: &Answer) -> std::io::Result<()> {
    let (head, body) = answer.render(Vec::new(), method(request), false);
    wire.write(&[head, body].concat()).await
}

fn method(request: &Message) -> &str {
    request.first.split(' ').next().unwrap_or("")
}

/// Sends the answer to a request that was served, as the backend does at present.
async fn send(stand: &Backend, wire: &mut Wire, request: &Message, behaviour: &Behaviour) -> (Then, Ended) {
    let says_close = behaviour.close == Some(true);
    let (head, body) = behaviour.answer.render(stand.body(request), method(request), says_close);
    let whole = [&head[..], &body[..]].concat();
    // Until the next answer: ended sooner, it would let go of the body at once.
    wire.hold_back(behaviour.sending == Sending::TwoSegments);
    let (done, how) = match &behaviour.sending {
        Sending::Whole => (wire.write(&whole).await, Ended::Served),
        Sending::TwoSegments => (in_two(wire, &head, &body).await, Ended::Served),
        Sending::Drip(over) => (drip(wire, &whole, *over).await, Ended::Served),
        Sending::Raw(pieces) => (raw(wire, pieces).await, Ended::InvalidResponse),
    };
    match done {
        Ok(()) if behaviour.close.is_some() => (Then::Ends, how),
        Ok(()) => (Then::Next, how),
        Err(_) => (Then::Ends, Ended::Cancelled),
    }
}

async fn in_two(wire: &mut Wire, head: &[u8], body: &[u8]) -> std::io::Result<()> {
    wire.write(head).await?;
    wire.write(body).await
}

/// Writes what is due at each moment, a byte at least: moments lie as close as timers allow, about 1 ms.
async fn drip(wire: &mut Wire, bytes: &[u8], over: Duration) -> std::io::Result<()> {
    let (begun, mut sent) = (Instant::now(), 0);
    while sent < bytes.len() {
        sleep_until(begun + over.mul_f64((sent + 1) as f64 / bytes.len() as f64)).await;
        let part = begun.elapsed().as_secs_f64() / over.as_secs_f64().max(1e-6);
        let due = ((part * bytes.len() as f64) as usize).clamp(sent + 1, bytes.len());
        wire.write(&bytes[sent..due]).await?;
        sent = due;
    }
    Ok(())
}

async fn raw(wire: &mut Wire, pieces: &[Vec<u8>]) -> std::io::Result<()> {
    for (n, piece) in pieces.iter().enumerate() {
        if n > 0 {
            tokio::task::yield_now().await;
        }
        wire.write(piece).await?;
    }
    Ok(())
}
