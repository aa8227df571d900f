//! A caller's request in the form in which the entry processes it.

use mastweir_core::{
    gateway::{Fingerprint, RequestParts},
    route::Request,
    table::Service,
};

/// A parsed request of a customer, with the row of its service.
#[derive(Clone, Debug)]
pub struct ParsedRequest {
    pub id: String,
    /// Name of the customer.
    pub customer: String,
    /// Weight of the customer.
    pub weight: f64,
    pub service_name: String,
    pub service: Service,
    pub method: String,
    /// Path and query at the server.
    pub path: String,
    pub content_type: Option<String>,
    pub body: Vec<u8>,
    /// Whether the caller requests a streamed answer.
    pub streamed: bool,
    /// Idempotency key. `None` if the caller sent none or the service is repeatable.
    pub key: Option<String>,
    /// Estimated service units of the prompt.
    pub prefill: u32,
    /// Estimated service units of the whole request.
    pub cost: u32,
    /// Hash of the first part of the prompt, for affinity; `None` except for models.
    pub prefix_hash: Option<u64>,
}

impl ParsedRequest {
    /// Returns the fingerprint, which all submissions of the same request share.
    pub fn fingerprint(&self) -> Fingerprint {
        let (path, query) = self.path.split_once('?').unwrap_or((&self.path, ""));
        let parts = RequestParts {
            customer: &self.customer,
            host: &self.service_name,
            path,
            body: &self.body,
        };
        Fingerprint::of_attempt(&self.method, query, &self.id, parts)
    }

    /// Returns the properties that the router uses.
    pub fn routing<'a>(&self, tried: &'a [String]) -> Request<'a> {
        Request { prefix: self.prefix_hash, saved_units: self.prefill / 2, cost: self.cost, tried }
    }
}
