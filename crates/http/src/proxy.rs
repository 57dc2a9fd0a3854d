//! From a request to its response: the request is read and checked, handed to the host, and answered.

use crate::bodies::{Coming, Unread};
use crate::connection::Client;
use crate::errand::Call;
use crate::request::{check_probe, check_target, number, read, Fault};
use crate::request_id::Open;
use crate::response::{not_let_go, plain, refused, rendered};
use crate::rules::Rules;
use crate::server::Server;
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
const CROWDED: Micros = Micros(1_000_000);

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
            self.faults.set(self.faults.get() + 1);
            end = true; // what comes next on it may be no request at all
            let (status, text) = fault.answer(&rules);
            let mut answer = plain(status, text);
            if let Some(Ok(methods)) = fault.allow(&rules).map(HeaderValue::try_from) {
                answer.headers_mut().insert(ALLOW, methods);
            }
            answer
        });
        // Where many are kept their clients may have none left to ask on: each goes after its answer.
        let many = || self.staying.proven.get() > self.max / 2 || self.staying() > self.max;
        // One that was chosen to make room as its body came whole was served, and has no place any more.
        if end || client.is_leaving() || self.stopping.get().is_some() || many() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// The body of a request, whole by then, and the room that it holds.
    async fn body(
        self: &Rc<Self>, client: &Rc<Client>, until: Time, body: Incoming,
    ) -> Result<(Bytes, Option<Coming>), Unread> {
        if body.is_end_stream() {
            return Ok((Bytes::new(), None));
        }
        let coming = Coming::new(self, client, &body)?;
        let whole = coming.whole(until, body).await;
        let count = match &whole {
            Err(Unread::NoRoom) => &self.crowded,
            Err(Unread::Fault(Fault::Slow)) => &self.slow,
            _ => return whole.map(|bytes| (bytes, Some(coming))),
        };
        count.set(count.get() + 1);
        whole.map(|bytes| (bytes, Some(coming)))
    }

    async fn proxy(
        self: &Rc<Self>, client: &Rc<Client>, rules: &Rules, head: Parts, body: Incoming,
    ) -> Result<Response<Full<Bytes>>, Fault> {
        let came = self.host.clock.now();
        let taken = read(rules, &head, &body)?;
        let deadline = came + Micros(taken.left.0.saturating_sub(self.host.margin().0));
        let until = came + taken.left.min(rules.body_timeout);
        let until = self.stopping.get().map_or(until, |last| until.min(last));
        let (body, _room) = match self.body(client, until, body).await {
            Ok(body) => body,
            Err(Unread::Fault(fault)) => return Err(fault),
            Err(Unread::NoRoom) => {
                let mut answer = refused(rules, CROWDED);
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return Ok(answer);
            }
        };
        // A client waits for its answer before it sends more: this one's length is wrong or hides a request.
        if client.stream.surplus(body.len()) {
            return Err(Fault::Length);
        }
        // Asked for now: the program may have been told to stop while the body came.
        let deadline = self.stopping.get().map_or(deadline, |last| deadline.min(last));
        let (tenant, key) = (taken.tenant_name, taken.key);
        let mut headers = head.headers;
        let arrival = Arrival {
            request: RequestId(0),
            class: taken.class,
            tenant: taken.tenant,
            time_left: deadline - self.host.clock.now(),
            work_hint: headers.get("x-weight-hint").and_then(number).map(|us| Micros(us as u64)),
            repeat: headers.get("x-repeat").is_some_and(|v| v == "1"),
            elsewhere: false,
        };
        strip_hop_by_hop(&mut headers);
        let id = match taken.id {
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
        let to = rules.directions.get(taken.route.0).ok_or(Fault::NoRoute)?;
        let effect = rules.classes[taken.class.0].effect;
        let call = Rc::new(Call {
            method: head.method,
            uri,
            headers,
            body,
            client: Some(client.stream.watch()),
            time_left: rules.time_left.clone(),
            answers: to.answers.clone(),
            got: RefCell::default(),
        });
        let _open = Open::new(&self.ids, id).ok_or(Fault::IdInUse)?;
        client.prove();
        self.latest.set(self.latest.get().max(deadline));
        let order = Order { arrival, effect, pools: to.pools.clone(), permit: false, recorded: false };
        let named = Named {
            tenant: tenant.as_deref().unwrap_or_default(),
            class: &rules.classes[taken.class.0].name,
            key: key.as_deref().map(str::as_bytes),
        };
        let (id, answer) = match self.host.request(order, named, call.clone()) {
            Ok(taken) => taken,
            Err(NotTaken::Record(verdict)) => return not_let_go(rules, verdict),
            Err(NotTaken::ClientClosed) => return Err(Fault::ClientClosed),
        };
        let mut owed = Owed { host: &self.host, id, open: true };
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            // As `owed` is dropped nothing of the request goes out any more.
            () = client.stream.deserted(size) => return Err(Fault::Length),
        };
        owed.open = false;
        let mut answer = match answer {
            Ok(answer) => rendered(rules, answer, &call, effect == Effect::Free),
            Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
        };
        // It was not there when the request was taken, and it came before the answer: see above.
        if client.stream.surplus(size) {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer)
    }
}

fn ready(
    client: &Client, rules: &Rules, head: &Parts, body: &Incoming,
) -> Result<Response<Full<Bytes>>, Fault> {
    check_probe(rules, head, body)?;
    if client.stream.surplus(0) {
        return Err(Fault::Length);
    }
    Ok(plain(StatusCode::OK, "ready\n"))
}

/// Tells the host when hyper drops an unanswered request because its client is gone.
struct Owed<'a> {
    host: &'a Rc<Host>,
    id: RequestId,
    open: bool,
}

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        if self.open {
            self.host.client_gone(self.id);
        }
    }
}

#[cfg(test)]
mod tests;
