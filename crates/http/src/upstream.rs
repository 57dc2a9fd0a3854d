//! The exchange with a backend: writes a client's request on a connection and reads and judges the response.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri, Version};
use shaletide_balancer::{AttemptNumber, LoadReport};
use shaletide_net::timeout::timeout;
use shaletide_net::{
    drive_connection, strip_hop_by_hop, ExchangeFuture, ExchangeOutcome, ExchangeSpec, PeerWatch,
    RequestTrace, Stream, UpstreamRequest,
};
use shaletide_routing::{ErrorResponses, LastResponse, ResponseClass, ResponseRules};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The largest head, to which hyper holds a connection's buffer.
const MAX_HEAD: usize = 32 * 1024;

/// A client's request as it is forwarded to backends.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// The connection of its client.
    pub client: Option<PeerWatch>,
    /// Its trace, where requests are traced.
    pub trace: Option<Rc<RequestTrace>>,
    /// The header that tells a backend how long the proxy waits, in seconds.
    pub time_left_header: HeaderName,
    /// How the request's route judges responses.
    pub response_rules: Rc<ResponseRules>,
    /// The responses that may be passed on, by attempt.
    pub responses: RefCell<Vec<(AttemptNumber, ResponseClass, BackendResponse)>>,
}

/// A backend's complete response.
#[derive(Debug)]
pub struct BackendResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl ForwardedRequest {
    /// Takes the response to an attempt, and what it is as the last one.
    pub fn take(&self, attempt: AttemptNumber) -> Option<(LastResponse, BackendResponse)> {
        let mut all = self.responses.borrow_mut();
        let at = all.iter().position(|(no, ..)| *no == attempt)?;
        let (_, verdict, got) = all.swap_remove(at);
        Some((
            LastResponse { status: got.status.as_u16(), not_executed: verdict == ResponseClass::NotExecuted },
            got,
        ))
    }
}

impl UpstreamRequest for ForwardedRequest {
    fn client(&self) -> Option<&PeerWatch> {
        self.client.as_ref()
    }

    fn trace(&self) -> Option<&Rc<RequestTrace>> {
        self.trace.as_ref()
    }

    fn run(self: Rc<Self>, spec: ExchangeSpec) -> ExchangeFuture {
        Box::pin(async move {
            let time_left = spec.deadline.saturating_duration_since(Instant::now());
            let request = outgoing(&self, spec.to, time_left);
            spec.stream.begin_request(self.body.len());
            match exchange(&spec.stream, request, (spec.stall, spec.max_body)).await {
                Ok(Answered { got, keep, excess }) => {
                    let header = |name: &str| single_value(&got.headers, name);
                    let verdict = self.response_rules.classify(got.status.as_u16(), header);
                    let report = self
                        .response_rules
                        .load_report_header
                        .as_deref()
                        .and_then(header)
                        .map(LoadReport::parse);
                    if verdict == ResponseClass::Served
                        || self.response_rules.error_responses == ErrorResponses::Forward
                    {
                        self.responses.borrow_mut().push((spec.attempt, verdict, got));
                    }
                    ExchangeOutcome::Response { class: verdict, reusable: keep, excess, report }
                }
                Err(ExchangeError::InvalidResponse) => ExchangeOutcome::InvalidResponse,
                Err(ExchangeError::Ended) => ExchangeOutcome::ConnectionClosed,
            }
        })
    }
}

/// A header's value, or `None` where several differ: it may be the proof that a request was not executed.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut all = headers.get_all(name).iter();
    let first = all.next()?;
    all.all(|other| other == first).then(|| first.to_str().ok()).flatten()
}

/// The request as it is written on a connection.
fn outgoing(forwarded: &ForwardedRequest, to: SocketAddr, left: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    *request.headers_mut() = forwarded.headers.clone();
    if let Ok(text) = format!("{:.3}", left.as_secs_f64()).parse() {
        request.headers_mut().insert(forwarded.time_left_header.clone(), text);
    }
    // HTTP/1.1 requires a Host header, which an HTTP/1.0 client need not send.
    if !forwarded.headers.contains_key(HOST) {
        if let Ok(host) = HeaderValue::try_from(to.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
    }
    request
}

/// A complete response, and the state of its connection.
struct Answered {
    got: BackendResponse,
    keep: bool,
    excess: bool,
}

/// Why there is no complete response: the request may have run all the same.
enum ExchangeError {
    /// What was received is no valid response.
    InvalidResponse,
    /// The connection was closed.
    Ended,
}

/// Writes one request and reads its response. Each exchange uses a new hyper connection on the stream, which returns
/// excess bytes, so that they cannot pass for the next response.
async fn exchange(
    stream: &Stream, request: Request<Full<Bytes>>, (stall, max_body): (Option<Duration>, usize),
) -> Result<Answered, ExchangeError> {
    let head_only = request.method() == Method::HEAD;
    let shaken = http1::Builder::new().max_buf_size(MAX_HEAD).handshake(stream.clone()).await;
    let (mut sender, mut conn) = shaken.map_err(|_| ExchangeError::Ended)?;
    let work = async {
        let broken = |e: hyper::Error| {
            if e.is_parse() {
                ExchangeError::InvalidResponse
            } else {
                ExchangeError::Ended
            }
        };
        let (head, body) = sender.send_request(request).await.map_err(broken)?.into_parts();
        // An unrequested upgrade, and the end of HTTP on this connection: no response to the request.
        if head.status.is_informational() {
            return Err(ExchangeError::InvalidResponse);
        }
        let bodiless = head_only || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let given = [CONTENT_LENGTH, TRANSFER_ENCODING].map(|name| head.headers.contains_key(name));
        // Only a length tells a complete body from a truncated one, and two indications may differ.
        if !bodiless && (given[0] == given[1] || body.size_hint().lower() > max_body as u64) {
            return Err(ExchangeError::InvalidResponse);
        }
        let body = Limited::new(body, max_body).collect().await;
        let body = body.map_err(|e| {
            if e.is::<hyper::Error>() {
                ExchangeError::Ended
            } else {
                ExchangeError::InvalidResponse
            }
        })?;
        Ok((head, body.to_bytes(), bodiless))
    };
    let (head, body, bodiless) = tokio::select! {
        biased;
        done = drive_connection(&mut conn, work) => done.unwrap_or(Err(ExchangeError::Ended))?,
        _ = watch_response(stream, stall) => return Err(ExchangeError::InvalidResponse),
    };
    if stream.may_answer_previous_request() {
        return Err(ExchangeError::InvalidResponse);
    }
    let close =
        head.headers.get_all(CONNECTION).iter().any(|v| !v.as_bytes().eq_ignore_ascii_case(b"keep-alive"));
    let keep = head.version == Version::HTTP_11 && !close;
    stream.mark_idle();
    let excess = !conn.into_parts().read_buf.is_empty();
    let mut headers = head.headers;
    // Without a body the length is that of the response to GET, and is passed on.
    let length = headers.get(CONTENT_LENGTH).filter(|_| bodiless).cloned();
    strip_hop_by_hop(&mut headers);
    if let Some(length) = length.filter(|_| head.status != StatusCode::NO_CONTENT) {
        headers.insert(CONTENT_LENGTH, length);
    }
    Ok(Answered { got: BackendResponse { status: head.status, headers, body }, keep, excess })
}

/// Acknowledges the parts of a response as they arrive, and returns when a response that has begun is not complete
/// within `stall`. Invalid bytes, an endless head or a truncated body would otherwise hold the request until its
/// deadline. Interim responses (1xx) do not begin a response.
async fn watch_response(stream: &Stream, stall: Option<Duration>) {
    loop {
        while !stream.final_response_begun() {
            stream.next_bytes().await;
        }
        let interim = stream.interim_responses();
        // Most responses are complete by the next turn of the event loop.
        tokio::task::yield_now().await;
        let parts = async {
            // Until it turns out to be an interim response.
            while stream.interim_responses() == interim {
                stream.acknowledge();
                stream.next_bytes().await;
            }
        };
        match stall {
            None => parts.await,
            Some(stall) if timeout(stall, parts).await.is_err() => return,
            Some(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
