//! From a request to its response: the request is read and checked, handed to the host, and answered.

use crate::bodies::{BodyError, IncomingBody};
use crate::connection::Client;
use crate::request::{check_probe, check_target, number, read_head, Fault};
use crate::request_id::IdGuard;
use crate::response::{final_response, plain, record_refusal, refused};
use crate::rules::Rules;
use crate::server::Server;
use crate::upstream::ForwardedRequest;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONNECTION};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use shaletide_balancer::*;
use shaletide_engine::Order;
use shaletide_net::{strip_hop_by_hop, Host, Named, NotTaken};
use std::cell::RefCell;
use std::rc::Rc;

/// When a request had better come again for whose body there was no room: the slow ones are gone by then.
const NO_ROOM_RETRY_AFTER: Micros = Micros(1_000_000);

impl Server {
    pub(crate) async fn answer(
        self: &Rc<Self>, client: &Rc<Client>, request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let (mut end, rules) = (false, self.rules());
        let (head, body) = request.into_parts();
        let answer = match (check_target(&head), head.uri.path()) {
            (Err(fault), _) => Err(fault),
            (Ok(()), "/-/ready") => ready(client, &rules, &head, &body),
            (Ok(()), _) => self.proxy(client, &rules, head, body).await,
        };
        let mut answer = answer.unwrap_or_else(|fault| {
            self.rejected.set(self.rejected.get() + 1);
            end = true; // what comes next on it may be no request at all
            let (status, text) = fault.answer(&rules);
            let mut answer = plain(status, text);
            if let Some(Ok(methods)) = fault.allow(&rules).map(HeaderValue::try_from) {
                answer.headers_mut().insert(ALLOW, methods);
            }
            answer
        });
        // Where many are kept their clients may have none left to ask on: each goes after its answer.
        let many = || self.counters.proven.get() > self.max_clients / 2 || self.active() > self.max_clients;
        // One that was chosen to make room as its body came whole was served, and has no place any more.
        if end || client.is_evicted() || self.stop_deadline.get().is_some() || many() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// The body of a request, whole by then, and the room that it holds.
    async fn body(
        self: &Rc<Self>, client: &Rc<Client>, until: Time, body: Incoming,
    ) -> Result<(Bytes, Option<IncomingBody>), BodyError> {
        if body.is_end_stream() {
            return Ok((Bytes::new(), None));
        }
        let incoming = IncomingBody::new(self, client, &body)?;
        let whole = incoming.whole(until, body).await;
        let count = match &whole {
            Err(BodyError::NoRoom) => &self.bodies_without_room,
            Err(BodyError::Fault(Fault::Slow)) => &self.slow_bodies,
            _ => return whole.map(|bytes| (bytes, Some(incoming))),
        };
        count.set(count.get() + 1);
        whole.map(|bytes| (bytes, Some(incoming)))
    }

    async fn proxy(
        self: &Rc<Self>, client: &Rc<Client>, rules: &Rules, head: Parts, body: Incoming,
    ) -> Result<Response<Full<Bytes>>, Fault> {
        let came = self.host.clock.now();
        let parsed = read_head(rules, &head, &body)?;
        let deadline = came + Micros(parsed.left.0.saturating_sub(self.host.margin().0));
        let until = came + parsed.left.min(rules.body_timeout);
        let until = self.stop_deadline.get().map_or(until, |last| until.min(last));
        let (body, _room) = match self.body(client, until, body).await {
            Ok(body) => body,
            Err(BodyError::Fault(fault)) => return Err(fault),
            Err(BodyError::NoRoom) => {
                let mut answer = refused(rules, NO_ROOM_RETRY_AFTER);
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return Ok(answer);
            }
        };
        // A client waits for its answer before it sends more: this one's length is wrong or hides a request.
        if client.stream.has_excess_bytes(body.len()) {
            return Err(Fault::Length);
        }
        // Asked for now: the program may have been told to stop while the body came.
        let deadline = self.stop_deadline.get().map_or(deadline, |last| deadline.min(last));
        let (tenant, key) = (parsed.tenant_name, parsed.key);
        let mut headers = head.headers;
        let arrival = Arrival {
            request: RequestId(0),
            class: parsed.class,
            tenant: parsed.tenant,
            time_left: deadline - self.host.clock.now(),
            work_hint: headers.get("x-weight-hint").and_then(number).map(|us| Micros(us as u64)),
            repeat: headers.get("x-repeat").is_some_and(|v| v == "1"),
            elsewhere: false,
        };
        strip_hop_by_hop(&mut headers);
        let id = match parsed.id {
            Some(id) => id,
            None => {
                let id = self.give_id().ok_or(Fault::Id)?;
                headers.insert(rules.id.clone(), id.clone());
                id
            }
        };
        let origin = head.uri.path_and_query().map(|p| p.as_str().parse());
        let uri = origin.and_then(Result::ok).ok_or(Fault::Target)?;
        let size = body.len();
        let to = rules.directions.get(parsed.route.0).ok_or(Fault::NoRoute)?;
        let effect = rules.classes[parsed.class.0].effect;
        let forwarded = Rc::new(ForwardedRequest {
            method: head.method,
            uri,
            headers,
            body,
            client: Some(client.stream.watch()),
            time_left: rules.time_left.clone(),
            answers: to.answers.clone(),
            got: RefCell::default(),
        });
        let _id_guard = IdGuard::new(&self.open_ids, id).ok_or(Fault::IdInUse)?;
        client.prove();
        self.latest_deadline.set(self.latest_deadline.get().max(deadline));
        let order = Order { arrival, effect, pools: to.pools.clone(), permit: false, recorded: false };
        let named = Named {
            tenant: tenant.as_deref().unwrap_or_default(),
            class: &rules.classes[parsed.class.0].name,
            key: key.as_deref().map(str::as_bytes),
        };
        let (id, answer) = match self.host.request(order, named, forwarded.clone()) {
            Ok(accepted) => accepted,
            Err(NotTaken::Record(verdict)) => return record_refusal(rules, verdict),
            Err(NotTaken::ClientClosed) => return Err(Fault::ClientClosed),
        };
        let mut guard = RequestGuard { host: &self.host, id, open: true };
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            // As `guard` is dropped nothing of the request goes out any more.
            () = client.stream.closed_after_excess(size) => return Err(Fault::Length),
        };
        guard.open = false;
        let mut answer = match answer {
            Ok(answer) => final_response(rules, answer, &forwarded, effect == Effect::Free),
            Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
        };
        // It was not there when the request was taken, and it came before the answer: see above.
        if client.stream.has_excess_bytes(size) {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer)
    }
}

fn ready(
    client: &Client, rules: &Rules, head: &Parts, body: &Incoming,
) -> Result<Response<Full<Bytes>>, Fault> {
    check_probe(rules, head, body)?;
    if client.stream.has_excess_bytes(0) {
        return Err(Fault::Length);
    }
    Ok(plain(StatusCode::OK, "ready\n"))
}

/// Tells the host when hyper drops an unanswered request because its client is gone.
struct RequestGuard<'a> {
    host: &'a Rc<Host>,
    id: RequestId,
    open: bool,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if self.open {
            self.host.client_gone(self.id);
        }
    }
}

#[cfg(test)]
mod tests;
