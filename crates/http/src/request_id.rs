//! Generates ids for requests that have none, and keeps ids unique among open requests and those that may have been executed.

use crate::request_error::RequestError;
use crate::server::Server;
use crate::upstream::ForwardedRequest;
use hyper::header::HeaderValue;
use shaletide_balancer::Micros;
use std::rc::Rc;

impl Server {
    /// Generates an id that differs from all ids generated before.
    pub(crate) fn generate_id(&self) -> Option<HeaderValue> {
        // SplitMix64 is a bijection of its state, so no value repeats.
        let next = self.id_state.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.id_state.set(next);
        let mixed = (next ^ (next >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        HeaderValue::try_from(format!("{:016x}", mixed ^ (mixed >> 31))).ok()
    }
}

/// Reserves the id of an open request until dropped, so that no other request can use it. If the request may have been
/// executed, its id cannot be used for some time after that either.
pub(crate) struct OpenIdGuard<'a> {
    server: &'a Server,
    id: HeaderValue,
    /// The attempts of the request, and the time for which its id is kept; `None` if it may be executed again.
    kept: Option<(Rc<ForwardedRequest>, Micros)>,
}

impl<'a> OpenIdGuard<'a> {
    /// Reserves `id`.
    ///
    /// # Errors
    /// A request with that id is open, or may have been executed.
    pub(crate) fn new(server: &'a Server, id: HeaderValue) -> Result<OpenIdGuard<'a>, RequestError> {
        let now = server.driver.clock.now();
        if server.executed_ids.borrow_mut().contains(now, id.as_bytes()) {
            return Err(RequestError::IdExecuted);
        }
        if !server.open_ids.borrow_mut().insert(id.clone()) {
            return Err(RequestError::IdInUse);
        }
        Ok(OpenIdGuard { server, id, kept: None })
    }

    /// Keeps the id for `retention` after the end of the request, if one of its attempts may have been executed by then.
    pub(crate) fn keep_if_executed(&mut self, request: Rc<ForwardedRequest>, retention: Micros) {
        self.kept = Some((request, retention));
    }

    /// The request was rejected: the client may send it again.
    pub(crate) fn set_rejected(&mut self) {
        self.kept = None;
    }
}

impl Drop for OpenIdGuard<'_> {
    fn drop(&mut self) {
        self.server.open_ids.borrow_mut().remove(&self.id);
        let Some((request, retention)) = self.kept.take() else { return };
        if request.may_have_executed() {
            let now = self.server.driver.clock.now();
            self.server.executed_ids.borrow_mut().insert(now, self.id.as_bytes(), now + retention);
        }
    }
}
