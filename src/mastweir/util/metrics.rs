//! Metrics of entries and agents, which are sent to a statsd server if one is set.

use cadence::{Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

const PREFIX: &str = "mastweir";

/// A statsd client. Clones share the socket.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client; `None` discards all metrics.
    ///
    /// # Errors
    ///
    /// The socket can't be opened.
    pub fn new(statsd: Option<SocketAddr>) -> eyre::Result<Self> {
        let client = match statsd {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(addr) => {
                let socket = UdpSocket::bind(if addr.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" })?;
                socket.set_nonblocking(true)?;
                let sink = QueuingMetricSink::from(UdpMetricSink::from(addr, socket)?);
                StatsdClient::from_sink(PREFIX, sink)
            }
        };
        Ok(Self { client: Arc::new(client) })
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        self.client.count_with_tags(name, 1).send();
    }

    /// Increments a counter with a tag.
    pub fn count_tagged(&self, name: &str, tag: &str, value: &str) {
        self.client.count_with_tags(name, 1).with_tag(tag, value).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }
}
