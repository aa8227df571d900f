//! The order that an agent gets of a call.

use super::{super::lock, DEADLINE_MARGIN, Driver};
use mastweir_core::{id::Fence, wire::Start};

impl Driver {
    /// The order for an agent.
    pub(super) fn start(&self, fence: &Fence, from: u64) -> Start {
        let order = &self.order;
        let left = self.deadline.since(self.shared.context.clock.now());
        let left = left.saturating_sub(DEADLINE_MARGIN).as_millis();
        let binding = self.bindings.iter().find(|binding| binding.fence == *fence);
        Start {
            request: order.id.clone(),
            op: self.op,
            fence: fence.clone(),
            repeatable: order.service.repeatable,
            expires: binding.map(|binding| binding.expires).unwrap_or_default(),
            deadline_ms: u32::try_from(left).unwrap_or(u32::MAX),
            from,
            service: order.service_name.clone(),
            customer: order.customer.clone(),
            weight: (order.weight * 1e3).clamp(1.0, 1e9) as u32,
            class: order.service.class,
            cost: lock(&self.shared.usage).expect(&order.customer, order.cost),
            prefill: order.prefill,
            decode_milli: order.service.cost.decode_milli,
            method: order.method.clone(),
            path: order.path.clone(),
            content_type: order.content.clone(),
            body_len: u32::try_from(order.body.len()).unwrap_or(u32::MAX),
        }
    }
}
