//! One request on its way to backends: how it is written on a connection, and what its answer means.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri, Version};
use shaletide_balancer::{AttemptNo, LoadReport};
use shaletide_net::{driven, strip_hop_by_hop, Errand, Heard, Leg, PeerWatch, Run, Stream};
use shaletide_routing::{Answers, Errors, LastAnswer, Verdict};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The largest head, to which hyper holds a connection's buffer.
const MAX_HEAD: usize = 32 * 1024;

/// A client's request as it goes on to backends.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its headers, but for those of one connection only.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// Its client's connection, on which nothing else is asked meanwhile.
    pub client: Option<PeerWatch>,
    /// The header that tells a backend how long the proxy will wait, in seconds.
    pub time_left: HeaderName,
    /// What an answer means, by the request's route.
    pub answers: Rc<Answers>,
    /// The answers that its client may get, by attempt.
    pub got: RefCell<Vec<(AttemptNo, Verdict, Got)>>,
}

/// A backend's whole answer.
#[derive(Debug)]
pub struct Got {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, but for those of one connection only.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl Call {
    /// The answer to an attempt, and what it is as a last answer; once.
    pub fn take(&self, attempt: AttemptNo) -> Option<(LastAnswer, Got)> {
        let mut all = self.got.borrow_mut();
        let at = all.iter().position(|(no, ..)| *no == attempt)?;
        let (_, verdict, got) = all.swap_remove(at);
        Some((LastAnswer { status: got.status.as_u16(), never_ran: verdict == Verdict::NeverRan }, got))
    }
}

impl Errand for Call {
    fn client(&self) -> Option<&PeerWatch> {
        self.client.as_ref()
    }

    fn run(self: Rc<Self>, leg: Leg) -> Run {
        Box::pin(async move {
            let request = prepared(&self, leg.to, leg.left);
            leg.stream.begin_request(self.body.len());
            match exchange(&leg.stream, request, (leg.stall, leg.max_body)).await {
                Ok(Answered { got, keep, behind }) => {
                    let header = |name: &str| said_once(&got.headers, name);
                    let verdict = self.answers.judge(got.status.as_u16(), header);
                    let report = self.answers.report.as_deref().and_then(header).map(LoadReport::read);
                    if verdict == Verdict::Served || self.answers.errors == Errors::AsTheyAre {
                        self.got.borrow_mut().push((leg.attempt, verdict, got));
                    }
                    Heard::Answered { verdict, keep, behind, report }
                }
                Err(Broken::Spoilt) => Heard::Spoilt,
                Err(Broken::Ended) => Heard::Ended,
            }
        })
    }
}

/// What a header says. One that says this and that says nothing: it may be the proof that a request never ran.
fn said_once<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut all = headers.get_all(name).iter();
    let first = all.next()?;
    all.all(|other| other == first).then(|| first.to_str().ok()).flatten()
}

/// The request as it goes out on a connection.
fn prepared(call: &Call, to: SocketAddr, left: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    if let Ok(text) = format!("{:.3}", left.as_secs_f64()).parse() {
        request.headers_mut().insert(call.time_left.clone(), text);
    }
    // An HTTP/1.0 client need not name a host, but this goes on as HTTP/1.1, which must.
    if !call.headers.contains_key(HOST) {
        if let Ok(host) = HeaderValue::try_from(to.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
    }
    request
}

/// A whole answer, and what is to be said of its connection.
struct Answered {
    got: Got,
    keep: bool,
    behind: bool,
}

/// Why no whole answer came: all of these may have run.
enum Broken {
    /// What came is no answer to anything: too long, cut short, or nothing that can be read.
    Spoilt,
    /// The connection ended.
    Ended,
}

/// One request and its answer, whether that lets the connection be kept, and whether more came than the answer.
/// hyper starts anew with every request and gives back what it
/// had read too much, so that nothing left from one answer can pass for the next.
async fn exchange(
    stream: &Stream, request: Request<Full<Bytes>>, (stall, max_body): (Option<Duration>, usize),
) -> Result<Answered, Broken> {
    let head_only = request.method() == Method::HEAD;
    let shaken = http1::Builder::new().max_buf_size(MAX_HEAD).handshake(stream.clone()).await;
    let (mut sender, mut conn) = shaken.map_err(|_| Broken::Ended)?;
    let work = async {
        let broken = |e: hyper::Error| if e.is_parse() { Broken::Spoilt } else { Broken::Ended };
        let (head, body) = sender.send_request(request).await.map_err(broken)?.into_parts();
        // Not asked for, and the last word on this connection: no answer to the request.
        if head.status.is_informational() {
            return Err(Broken::Spoilt);
        }
        let bodiless = head_only || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let given = [CONTENT_LENGTH, TRANSFER_ENCODING].map(|name| head.headers.contains_key(name));
        // Only a length tells a whole body from one that broke off, and two ways to tell it may differ.
        if !bodiless && (given[0] == given[1] || body.size_hint().lower() > max_body as u64) {
            return Err(Broken::Spoilt);
        }
        let body = Limited::new(body, max_body).collect().await;
        let body = body.map_err(|e| if e.is::<hyper::Error>() { Broken::Ended } else { Broken::Spoilt })?;
        Ok((head, body.to_bytes(), bodiless))
    };
    let (head, body, bodiless) = tokio::select! {
        biased;
        done = driven(&mut conn, work) => done.unwrap_or(Err(Broken::Ended))?,
        _ = attend(stream, stall) => return Err(Broken::Spoilt),
    };
    if stream.is_about_another() {
        return Err(Broken::Spoilt);
    }
    let close =
        head.headers.get_all(CONNECTION).iter().any(|v| !v.as_bytes().eq_ignore_ascii_case(b"keep-alive"));
    let keep = head.version == Version::HTTP_11 && !close;
    stream.mark_idle();
    let behind = !conn.into_parts().read_buf.is_empty();
    let mut headers = head.headers;
    // Without a body the length says what one would have had, and belongs to the answer.
    let length = headers.get(CONTENT_LENGTH).filter(|_| bodiless).cloned();
    strip_hop_by_hop(&mut headers);
    if let Some(length) = length.filter(|_| head.status != StatusCode::NO_CONTENT) {
        headers.insert(CONTENT_LENGTH, length);
    }
    Ok(Answered { got: Got { status: head.status, headers, body }, keep, behind })
}

/// Looks after an answer that has begun and is not whole: what comes is acknowledged at once, and where the
/// configuration bounds the time that it may take this ends when that is over. What was noise from the start,
/// never ends its head or is shorter than it says would else hold its request to the deadline. Answers of
/// status 1xx are no such beginning.
async fn attend(stream: &Stream, stall: Option<Duration>) {
    loop {
        while !stream.final_begun() {
            stream.next_bytes().await;
        }
        let informed = stream.informed();
        // Most answers are whole by the next turn: nothing is to be done for them.
        tokio::task::yield_now().await;
        let parts = async {
            // Until it turns out that this was one of status 1xx.
            while stream.informed() == informed {
                stream.acknowledge();
                stream.next_bytes().await;
            }
        };
        match stall {
            None => parts.await,
            Some(stall) if tokio::time::timeout(stall, parts).await.is_err() => return,
            Some(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
