//! Builds the frame that submits a request to an agent.

use super::{super::lock, DEADLINE_MARGIN, Driver};
use mastweir_core::{id::Fence, wire::Start};

impl Driver {
    /// Returns the frame that requests the answer from chunk `from`.
    pub(super) fn start_frame(&self, fence: &Fence, from: u64) -> Start {
        let request = &self.request;
        let remaining = self.deadline.since(self.shared.context.clock.now());
        let remaining = remaining.saturating_sub(DEADLINE_MARGIN).as_millis();
        let binding = self.bindings.iter().find(|binding| binding.fence == *fence);
        Start {
            request: request.id.clone(),
            op: self.op,
            fence: fence.clone(),
            repeatable: request.service.repeatable,
            expires: binding.map(|binding| binding.expires).unwrap_or_default(),
            deadline_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
            from,
            service: request.service_name.clone(),
            customer: request.customer.clone(),
            weight: (request.weight * 1e3).clamp(1.0, 1e9) as u32,
            class: request.service.class,
            cost: lock(&self.shared.usage).estimate(&request.customer, request.cost),
            prefill: request.prefill,
            decode_milli: request.service.cost.decode_milli,
            method: request.method.clone(),
            path: request.path.clone(),
            content_type: request.content_type.clone(),
            body_len: u32::try_from(request.body.len()).unwrap_or(u32::MAX),
        }
    }
}
