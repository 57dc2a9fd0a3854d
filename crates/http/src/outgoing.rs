//! Prepares a checked request for the driver.

use crate::connection::Client;
use crate::request::{number, ParsedHead};
use crate::request_error::RequestError;
use crate::rules::{Rules, REPEAT_HEADER, WEIGHT_HINT_HEADER};
use crate::server::Server;
use crate::upstream::ForwardedRequest;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Uri};
use shaletide_balancer::{Arrival, Micros, RequestId, Time};
use shaletide_engine::RequestSpec;
use shaletide_net::strip_hop_by_hop;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// A request that is ready for the driver.
pub(crate) struct OutgoingRequest {
    pub id: HeaderValue,
    pub deadline: Time,
    pub spec: RequestSpec,
    pub tenant: Option<String>,
    pub key: Option<String>,
    pub forwarded: Rc<ForwardedRequest>,
}

impl Server {
    /// Prepares a request for the driver from its head, its body and its deadline.
    ///
    /// # Errors
    /// If the target or the route cannot be used although the head has been checked.
    pub(crate) fn outgoing(
        &self, client: &Client, rules: &Rules, head: Parts, parsed: ParsedHead, body: Bytes, deadline: Time,
    ) -> Result<OutgoingRequest, RequestError> {
        let mut headers = head.headers;
        let arrival = arrival(&headers, &parsed);
        strip_hop_by_hop(&mut headers);
        let id = match parsed.id {
            Some(id) => id,
            None => self.add_id(client, rules, &mut headers)?,
        };
        let uri = origin_form(&head.uri)?;
        let target = rules.route_targets.get(parsed.route.0).ok_or(RequestError::NoRoute)?;
        let spec = RequestSpec {
            arrival,
            idempotency: rules.classes[parsed.class.0].idempotency,
            pools: target.pools.clone(),
            requires_intent: false,
            recorded: false,
        };
        let forwarded = Rc::new(ForwardedRequest {
            method: head.method,
            uri,
            headers,
            body,
            client: Some(client.stream.watch()),
            trace: client.trace.borrow().clone(),
            time_left_header: rules.time_left_header.clone(),
            response_rules: target.response_rules.clone(),
            responses: RefCell::default(),
            executed_attempts: Cell::new(0),
        });
        Ok(OutgoingRequest { id, deadline, spec, tenant: parsed.tenant_name, key: parsed.key, forwarded })
    }

    /// Generates an id for a request that arrived without one, and adds it to the headers.
    fn add_id(
        &self, client: &Client, rules: &Rules, headers: &mut HeaderMap,
    ) -> Result<HeaderValue, RequestError> {
        let id = self.generate_id().ok_or(RequestError::InvalidId)?;
        client.trace(|trace| trace.set_id(id.as_bytes()));
        headers.insert(rules.id_header.clone(), id.clone());
        Ok(id)
    }
}

/// The data by which the balancer decides. The driver sets the request's number and the time left; the engine sets whether
/// the request may fail over.
fn arrival(headers: &HeaderMap, parsed: &ParsedHead) -> Arrival {
    let work_hint_us = headers.get(WEIGHT_HINT_HEADER).and_then(number);
    Arrival {
        request: RequestId(0),
        class: parsed.class,
        tenant: parsed.tenant,
        time_left: Micros(0),
        work_hint: work_hint_us.map(|us| Micros(us as u64)),
        is_client_retry: headers.get(REPEAT_HEADER).is_some_and(|value| value == "1"),
        may_fail_over: false,
    }
}

/// Returns the path and the query of a target.
fn origin_form(target: &Uri) -> Result<Uri, RequestError> {
    let origin = target.path_and_query().ok_or(RequestError::InvalidTarget)?;
    origin.as_str().parse().map_err(|_| RequestError::InvalidTarget)
}
