//! Generates ids for requests that have none, and keeps ids unique among open requests.

use crate::server::Server;
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;

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

/// Reserves the id of an open request until dropped, so that no other request can use it.
pub(crate) struct OpenIdGuard<'a> {
    ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> OpenIdGuard<'a> {
    /// Reserves `id`. Returns `None` if a request with that id is open.
    pub(crate) fn new(ids: &'a RefCell<HashSet<HeaderValue>>, id: HeaderValue) -> Option<OpenIdGuard<'a>> {
        let is_unused = ids.borrow_mut().insert(id.clone());
        is_unused.then_some(OpenIdGuard { ids, id })
    }
}

impl Drop for OpenIdGuard<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}
