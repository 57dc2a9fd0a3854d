//! A connection to a backend. Its requests are handled one after the other as the backend decides.

use super::backend::{Backend, Decision, OpenRequest};
use crate::fault::Behaviour;
use crate::http_stream::{BodyRule, HttpStream};
use crate::{Answer, Ended, Message, Sending};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Whether a connection takes another request after the present one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Persistence {
    KeepOpen,
    Close,
}

/// Serves a connection until either side closes it or the backend dies, which resets it.
pub async fn serve(backend: Rc<Backend>, tcp: TcpStream, mut deaths: watch::Receiver<usize>) {
    let mut stream = HttpStream::new(tcp);
    tokio::select! {
        _ = deaths.changed() => stream.reset_on_close(),
        () = serve_requests(&backend, &mut stream) => {}
    }
    drop(stream); // closes the connection before it leaves the count of the open ones
    backend.count_connection(false);
}

async fn serve_requests(backend: &Rc<Backend>, stream: &mut HttpStream) {
    loop {
        let received =
            tokio::time::timeout(backend.spec.idle_timeout, stream.read_message(BodyRule::FromHead)).await;
        let Ok(Some((request, first_byte_at))) = received else { return };
        let path = request.first.split(' ').nth(1).unwrap_or("");
        let persistence = if path.starts_with("/-/") {
            let (head, body) = Answer::default().render(Vec::new(), "GET", false);
            persistence_after(stream.write(&[head, body].concat()).await)
        } else {
            let (decision, open_request) = backend.arrive(&request, first_byte_at);
            answer(backend, stream, &request, decision, open_request).await
        };
        if persistence == Persistence::Close {
            return;
        }
    }
}

fn persistence_after(write: std::io::Result<()>) -> Persistence {
    if write.is_ok() {
        Persistence::KeepOpen
    } else {
        Persistence::Close
    }
}

/// Handles a request to its end. If this is cancelled, the request ends as cancelled or with the death of the backend.
async fn answer(
    backend: &Rc<Backend>, stream: &mut HttpStream, request: &Message, decision: Decision,
    mut open_request: OpenRequest,
) -> Persistence {
    match decision {
        Decision::Serve(done) => {
            tokio::select! {
                _ = done => {}
                () = stream.wait_closed() => return Persistence::Close,
            }
            let behaviour = backend.behaviour();
            let (persistence, end) = send(backend, stream, request, &behaviour).await;
            open_request.set_end(end);
            persistence
        }
        Decision::Reject(status) => {
            let rejection = Answer::status(status).with("X-Unprocessed", "1").body("");
            open_request.set_end(Ended::TurnedAway);
            persistence_after(write(stream, request, &rejection).await)
        }
        Decision::Fail => {
            open_request.set_end(Ended::Failed);
            persistence_after(write(stream, request, &Answer::status(500).body("failed\n")).await)
        }
        Decision::Hang => {
            open_request.set_end(Ended::Hung);
            stream.wait_closed().await;
            Persistence::Close
        }
        Decision::Reset => {
            open_request.set_end(Ended::Reset);
            stream.reset_on_close();
            Persistence::Close
        }
    }
}

async fn write(stream: &mut HttpStream, request: &Message, answer: &Answer) -> std::io::Result<()> {
    let (head, body) = answer.render(Vec::new(), method(request), false);
    stream.write(&[head, body].concat()).await
}

fn method(request: &Message) -> &str {
    request.first.split(' ').next().unwrap_or("")
}

/// Sends the answer to a served request by the present behaviour of the backend.
async fn send(
    backend: &Backend, stream: &mut HttpStream, request: &Message, behaviour: &Behaviour,
) -> (Persistence, Ended) {
    let announces_close = behaviour.close == Some(true);
    let (head, body) =
        behaviour.answer.render(backend.default_body(request), method(request), announces_close);
    let message = [&head[..], &body[..]].concat();
    // Stays set until the next answer: turned off earlier, the kernel would send the body at once.
    stream.set_nagle(behaviour.sending == Sending::TwoSegments);
    let (written, end) = match &behaviour.sending {
        Sending::Whole => (stream.write(&message).await, Ended::Served),
        Sending::TwoSegments => (write_two_segments(stream, &head, &body).await, Ended::Served),
        Sending::Drip(over) => (drip(stream, &message, *over).await, Ended::Served),
        Sending::UntilClose | Sending::UntilReset => {
            return send_without_length(backend, stream, request, behaviour).await;
        }
        Sending::Raw(pieces) => (write_pieces(stream, pieces).await, Ended::InvalidResponse),
    };
    match written {
        Ok(()) if behaviour.close.is_some() => (Persistence::Close, end),
        Ok(()) => (Persistence::KeepOpen, end),
        Err(_) => (Persistence::Close, Ended::Cancelled),
    }
}

/// Sends an answer without a length, whole or up to the middle of its body, and ends the connection accordingly.
async fn send_without_length(
    backend: &Backend, stream: &mut HttpStream, request: &Message, behaviour: &Behaviour,
) -> (Persistence, Ended) {
    let (head, body) = behaviour.answer.render_without_length(backend.default_body(request), method(request));
    let is_whole = behaviour.sending == Sending::UntilClose;
    let sent = if is_whole { &body[..] } else { &body[..body.len() / 2] };
    let written = stream.write(&[&head[..], sent].concat()).await;
    if !is_whole {
        stream.reset_on_close();
    }
    let end = match written {
        Ok(()) if is_whole => Ended::ServedUntilClose,
        Ok(()) => Ended::Reset,
        Err(_) => Ended::Cancelled,
    };
    (Persistence::Close, end)
}

async fn write_two_segments(stream: &mut HttpStream, head: &[u8], body: &[u8]) -> std::io::Result<()> {
    stream.write(head).await?;
    stream.write(body).await
}

/// Writes the bytes evenly over the time `over`, at least one byte at a time, as often as the timers allow: about every ms.
async fn drip(stream: &mut HttpStream, bytes: &[u8], over: Duration) -> std::io::Result<()> {
    let (start, mut sent) = (Instant::now(), 0);
    while sent < bytes.len() {
        sleep_until(start + over.mul_f64((sent + 1) as f64 / bytes.len() as f64)).await;
        let fraction = start.elapsed().as_secs_f64() / over.as_secs_f64().max(1e-6);
        let due = ((fraction * bytes.len() as f64) as usize).clamp(sent + 1, bytes.len());
        stream.write(&bytes[sent..due]).await?;
        sent = due;
    }
    Ok(())
}

async fn write_pieces(stream: &mut HttpStream, pieces: &[Vec<u8>]) -> std::io::Result<()> {
    for (n, piece) in pieces.iter().enumerate() {
        if n > 0 {
            tokio::task::yield_now().await;
        }
        stream.write(piece).await?;
    }
    Ok(())
}
