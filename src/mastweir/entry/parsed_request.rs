//! A request on its way through an entry.

use mastweir_core::{
    gateway::{Fingerprint, RequestParts},
    route::Request,
    table::Service,
};

/// A request that was read and let in.
#[derive(Clone, Debug)]
pub struct ParsedRequest {
    /// Its id.
    pub id: String,
    /// Name of its customer.
    pub customer: String,
    /// The customer's weight.
    pub weight: f64,
    /// Name of the service.
    pub service_name: String,
    /// The service's row.
    pub service: Service,
    /// HTTP method.
    pub method: String,
    /// Path and query at the server.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether a stream is asked for.
    pub streamed: bool,
    /// Key of a call that may not be repeated.
    pub key: Option<String>,
    /// Units of the prompt.
    pub prefill: u32,
    /// Units estimated in all.
    pub cost: u32,
    /// Hash of the prompt's prefix.
    pub prefix_hash: Option<u64>,
}

impl ParsedRequest {
    /// What it has in common with other submissions of the same request.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(RequestParts {
            customer: &self.customer,
            host: &self.service_name,
            path: self.path.split('?').next().unwrap_or_default(),
            body: &self.body,
        })
    }

    /// What the router looks at.
    pub fn routing<'a>(&self, tried: &'a [String]) -> Request<'a> {
        Request { prefix: self.prefix_hash, saved_units: self.prefill / 2, cost: self.cost, tried }
    }
}
