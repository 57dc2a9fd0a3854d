//! Performs the exchange with a backend: writes a client's request to a connection, reads the response and classifies it.

mod body_end;
mod exchange_error;

use body_end::BodyEnd;
use bytes::Bytes;
use exchange_error::{ExchangeError, ResponseFault};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri, Version};
use shaletide_balancer::{AttemptNumber, LoadReport};
use shaletide_net::timeout::timeout;
use shaletide_net::{
    drive_connection, strip_hop_by_hop, ExchangeFuture, ExchangeOutcome, ExchangeSpec, PeerWatch,
    RequestTrace, Stream, UpstreamRequest,
};
use shaletide_routing::{ErrorResponses, LastResponse, ResponseClass, ResponseRules};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::debug;

/// Maximum length of a response head in bytes, set as the limit of hyper's read buffer.
const MAX_HEAD: usize = 32 * 1024;

/// A client's request as forwarded to backends, and their responses.
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub uri: Uri,
    /// The headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The client's connection.
    pub client: Option<PeerWatch>,
    /// The trace, if requests are traced.
    pub trace: Option<Rc<RequestTrace>>,
    /// The header that gives a backend the time that the proxy waits, in seconds.
    pub time_left_header: HeaderName,
    /// How the route classifies responses.
    pub response_rules: Rc<ResponseRules>,
    /// The responses that may be forwarded, at most one per attempt.
    pub responses: RefCell<Vec<AttemptResponse>>,
    /// The number of attempts that have begun and were not answered with the proof that they were not executed.
    pub executed_attempts: Cell<usize>,
}

/// The response to an attempt.
pub struct AttemptResponse {
    attempt: AttemptNumber,
    class: ResponseClass,
    response: BackendResponse,
}

/// A backend's complete response.
#[derive(Debug)]
pub struct BackendResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl ForwardedRequest {
    /// Whether an attempt has begun of which no response proves that it was not executed.
    pub fn may_have_executed(&self) -> bool {
        self.executed_attempts.get() > 0
    }

    /// Removes and returns the response to an attempt, with its summary for the choice of the final response.
    pub fn take(&self, attempt: AttemptNumber) -> Option<(LastResponse, BackendResponse)> {
        let mut responses = self.responses.borrow_mut();
        let at = responses.iter().position(|response| response.attempt == attempt)?;
        let AttemptResponse { class, response, .. } = responses.swap_remove(at);
        let status = response.status.as_u16();
        Some((LastResponse { status, not_executed: class == ResponseClass::NotExecuted }, response))
    }

    /// Classifies a response, and keeps it if it may be forwarded.
    fn on_response(&self, attempt: AttemptNumber, answered: Answered) -> ExchangeOutcome {
        let Answered { response, reusable, has_excess_bytes } = answered;
        let rules = &self.response_rules;
        let header = |name: &str| single_value(&response.headers, name);
        let class = rules.classify(response.status.as_u16(), header);
        if class == ResponseClass::NotExecuted {
            self.executed_attempts.set(self.executed_attempts.get().saturating_sub(1));
        }
        let report = rules.load_report_header.as_deref().and_then(header).map(LoadReport::parse);
        if class == ResponseClass::Served || rules.error_responses == ErrorResponses::Forward {
            self.responses.borrow_mut().push(AttemptResponse { attempt, class, response });
        }
        ExchangeOutcome::Response { class, reusable, has_excess_bytes, report }
    }
}

impl UpstreamRequest for ForwardedRequest {
    fn client(&self) -> Option<&PeerWatch> {
        self.client.as_ref()
    }

    fn trace(&self) -> Option<&Rc<RequestTrace>> {
        self.trace.as_ref()
    }

    fn run_attempt(self: Rc<Self>, spec: ExchangeSpec) -> ExchangeFuture {
        Box::pin(async move {
            let time_left = spec.deadline.saturating_duration_since(Instant::now());
            let request = request_to_backend(&self, spec.to, time_left);
            spec.stream.begin_request(self.body.len());
            self.executed_attempts.set(self.executed_attempts.get() + 1);
            match exchange(&spec.stream, request, spec.stall_timeout, spec.max_body).await {
                Ok(answered) => self.on_response(spec.attempt, answered),
                Err(ExchangeError::InvalidResponse(fault)) => {
                    debug!("response of {} is invalid: {fault}", spec.to);
                    ExchangeOutcome::InvalidResponse
                }
                Err(ExchangeError::Closed) => ExchangeOutcome::ConnectionClosed,
            }
        })
    }
}

/// Returns a header's value, or `None` if there are several different values, as the header may be the proof that a request
/// was not executed.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    if values.any(|other| other != first) {
        return None;
    }
    first.to_str().ok()
}

/// Returns the request to be written to a connection to the backend at `to`.
fn request_to_backend(
    forwarded: &ForwardedRequest, to: SocketAddr, time_left: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    *request.headers_mut() = forwarded.headers.clone();
    if let Ok(text) = format!("{:.3}", time_left.as_secs_f64()).parse() {
        request.headers_mut().insert(forwarded.time_left_header.clone(), text);
    }
    // HTTP/1.1 requires a Host header, which HTTP/1.0 clients may omit.
    if !forwarded.headers.contains_key(HOST) {
        if let Ok(host) = HeaderValue::try_from(to.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
    }
    request
}

/// A complete response and the state of its connection.
struct Answered {
    response: BackendResponse,
    /// Whether the response allows the connection to be reused.
    reusable: bool,
    /// Whether bytes followed the response.
    has_excess_bytes: bool,
}

/// A response as read by hyper.
struct ReceivedResponse {
    head: Parts,
    body: Bytes,
    body_end: BodyEnd,
}

/// Writes one request and reads its response. Each exchange uses a new hyper connection on the stream. That connection
/// returns excess bytes, so that they cannot be taken for the next response. If the future is dropped before it completes, a
/// part of the request or response remains on the stream, which must then be closed.
async fn exchange(
    stream: &Stream, request: Request<Full<Bytes>>, stall: Option<Duration>, max_body: usize,
) -> Result<Answered, ExchangeError> {
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD).handshake(stream.clone()).await;
    let (mut sender, mut connection) = handshake.map_err(|_| ExchangeError::Closed)?;
    let work = send_and_receive(&mut sender, request, max_body);
    let received = tokio::select! {
        biased;
        done = drive_connection(&mut connection, work) => done.unwrap_or(Err(ExchangeError::Closed))?,
        _ = watch_response(stream, stall) => return Err(ExchangeError::InvalidResponse(ResponseFault::Stalled)),
    };
    if stream.may_answer_previous_request() {
        return Err(ExchangeError::InvalidResponse(ResponseFault::MayAnswerPreviousRequest));
    }
    let reusable = is_reusable(&received);
    stream.mark_idle();
    let has_excess_bytes = !connection.into_parts().read_buf.is_empty();
    Ok(Answered { response: forwardable(received), reusable, has_excess_bytes })
}

/// Sends a request and reads the whole response.
async fn send_and_receive(
    sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>, max_body: usize,
) -> Result<ReceivedResponse, ExchangeError> {
    let is_head_request = request.method() == Method::HEAD;
    let (head, body) = sender.send_request(request).await?.into_parts();
    // An unrequested upgrade ends HTTP on this connection and is not a response to the request.
    if head.status.is_informational() {
        return Err(ExchangeError::InvalidResponse(ResponseFault::UnrequestedUpgrade));
    }
    let body_end = BodyEnd::of(&head, is_head_request)
        .ok_or(ExchangeError::InvalidResponse(ResponseFault::AmbiguousLength))?;
    if body_end != BodyEnd::Bodiless && body.size_hint().lower() > max_body as u64 {
        return Err(ExchangeError::InvalidResponse(ResponseFault::TooLong));
    }
    match Limited::new(body, max_body).collect().await {
        Ok(body) => Ok(ReceivedResponse { head, body: body.to_bytes(), body_end }),
        Err(error) if error.is::<hyper::Error>() => Err(ExchangeError::Closed),
        Err(_) => Err(ExchangeError::InvalidResponse(ResponseFault::TooLong)),
    }
}

/// Returns whether the backend keeps the connection open after this response.
fn is_reusable(received: &ReceivedResponse) -> bool {
    let head = &received.head;
    let mut options = head.headers.get_all(CONNECTION).iter();
    let closes = options.any(|value| !value.as_bytes().eq_ignore_ascii_case(b"keep-alive"));
    head.version == Version::HTTP_11 && !closes && received.body_end != BodyEnd::Connection
}

/// Returns the response without hop-by-hop headers.
fn forwardable(received: ReceivedResponse) -> BackendResponse {
    let status = received.head.status;
    let mut headers = received.head.headers;
    // If a response has no body, its length is that of the response to GET and is forwarded.
    let length = headers.get(CONTENT_LENGTH).filter(|_| received.body_end == BodyEnd::Bodiless).cloned();
    strip_hop_by_hop(&mut headers);
    if let Some(length) = length.filter(|_| status != StatusCode::NO_CONTENT) {
        headers.insert(CONTENT_LENGTH, length);
    }
    BackendResponse { status, headers, body: received.body }
}

/// Acknowledges the parts of a response as they arrive, and returns when a response that has begun is not complete within
/// `stall`. Otherwise invalid bytes, an endless head or a truncated body would keep the request open until its deadline.
/// Interim responses (1xx) do not count as the beginning of a response.
async fn watch_response(stream: &Stream, stall: Option<Duration>) {
    loop {
        while !stream.final_response_begun() {
            stream.next_bytes().await;
        }
        let interim = stream.interim_responses();
        // Most responses are complete by the next turn of the event loop.
        tokio::task::yield_now().await;
        let parts = async {
            // Ends when the response turns out to be an interim response.
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
