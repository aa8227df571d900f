//! Metrics by `cadence`, to a statsd address or nowhere.

use cadence::{Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

const PREFIX: &str = "mastweir";

/// The process's metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Metrics that go to `statsd`, or nowhere.
    ///
    /// # Errors
    ///
    /// No socket can be opened.
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

    /// Counts one of `name`.
    pub fn count(&self, name: &str) {
        self.client.count_with_tags(name, 1).send();
    }

    /// Counts one of `name` under a tag.
    pub fn count_tagged(&self, name: &str, tag: &str, value: &str) {
        self.client.count_with_tags(name, 1).with_tag(tag, value).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }
}
