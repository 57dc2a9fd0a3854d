//! Request ids: generated for requests without one, and unique among open requests.

use crate::server::Server;
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;

impl Server {
    /// Generates an id for a request without one, different from all generated before.
    pub(crate) fn generate_id(&self) -> Option<HeaderValue> {
        // SplitMix64 is a bijection of its state: no value repeats.
        let next = self.id_state.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.id_state.set(next);
        let mixed = (next ^ (next >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        HeaderValue::try_from(format!("{:016x}", mixed ^ (mixed >> 31))).ok()
    }
}

/// Keeps the id of an open request from being used twice.
pub(crate) struct OpenIdGuard<'a> {
    ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> OpenIdGuard<'a> {
    /// `None` where a request of that id is open.
    pub(crate) fn new(ids: &'a RefCell<HashSet<HeaderValue>>, id: HeaderValue) -> Option<OpenIdGuard<'a>> {
        let fresh = ids.borrow_mut().insert(id.clone());
        fresh.then_some(OpenIdGuard { ids, id })
    }
}

impl Drop for OpenIdGuard<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}
