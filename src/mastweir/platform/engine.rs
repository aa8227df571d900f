//! Calls to a model server: its state, what its requests chose, and orders.

use super::headers::{self, AnswerHead, LimitHeader};
use crate::net::http::{CallError, FullAnswer, Pool};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use mastweir_core::switch::map_change::{
    GroupMap, Order, OrderKind, OrderOutcome, RankExperts, RankState,
};
use serde::{
    Deserialize, Deserializer, Serialize,
    de::{DeserializeSeed, SeqAccess, Visitor},
};
use serde_json::Value;
use std::{fmt, net::SocketAddr, rc::Rc, time::Duration};

/// A read on the server's own machine takes a millisecond.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// So does an order, and some milliseconds from another hall. One that gets no
/// answer is given again, and meanwhile its group may stand.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);
/// A report is small; counts and maps of 12 sets of 128 experts are some 20 KB.
const ANSWER_BYTES_MAX: usize = 1 << 20;

/// Ranks of a group at most, eight times those of the largest that is planned for. A report
/// that tells of more is not taken for a rank's: what is kept grows with that number.
const RANKS_MAX: u32 = 4_096;

/// Why a call to a model server failed.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// It answered with another status.
    #[error("the model server answered {status}; it will be asked again")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The answer is not in the format of the pages.
    #[error("malformed answer of the model server: {0}; check its version")]
    Malformed(#[from] serde_json::Error),
}

#[derive(Debug, Deserialize)]
struct ReportBody {
    /// Names the server's life; no time to reckon with.
    born: Option<u64>,
    #[serde(default)]
    busy: bool,
    #[serde(default)]
    seq: u64,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    kv_used: u64,
    #[serde(default)]
    kv_total: u64,
    /// Time that it takes over what is usual: above 1 it is slow.
    #[serde(default = "default_pace")]
    pace: f64,
    group: Option<GroupBody>,
    #[serde(default)]
    size: u32,
    #[serde(default)]
    step: u64,
    #[serde(default)]
    map: Value,
    #[serde(default)]
    prepared: Value,
    #[serde(default)]
    armed: Value,
    #[serde(default)]
    held: Value,
}

const fn default_pace() -> f64 {
    1.0
}

#[derive(Debug, Deserialize)]
struct GroupBody {
    name: String,
    epoch: u64,
    rank: u32,
    state: String,
}

#[derive(Debug, Deserialize)]
struct CountsBody {
    born: Option<u64>,
    #[serde(default)]
    step: u64,
    #[serde(default)]
    epoch: u64,
    counts: FlatNumbers,
}

/// Numbers in lists within lists, one behind the other: read straight into one list, since
/// 3,072 of them ten times a second took most of a sidecar's time as values of their own.
#[derive(Debug, Default)]
struct FlatNumbers(Vec<u64>);

impl<'de> Deserialize<'de> for FlatNumbers {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let mut flat = Self::default();
        FlatNumbersSeed(&mut flat.0).deserialize(from)?;
        Ok(flat)
    }
}

struct FlatNumbersSeed<'a>(&'a mut Vec<u64>);

impl<'de> DeserializeSeed<'de> for FlatNumbersSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for FlatNumbersSeed<'_> {
    type Value = ();

    fn expecting(&self, into: &mut fmt::Formatter<'_>) -> fmt::Result {
        into.write_str("a number, or a list of them")
    }

    fn visit_u64<E>(self, number: u64) -> Result<(), E> {
        self.0.push(number);
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        while items.next_element_seed(FlatNumbersSeed(self.0))?.is_some() {}
        Ok(())
    }
}

#[derive(Debug, Deserialize)]
struct ListsBody {
    map: MapBody,
}

#[derive(Debug, Deserialize)]
struct MapBody {
    version: u64,
    experts: RankExperts,
}

/// State of a server, with its rank's if it has one.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Its life; zero if it does not say.
    pub incarnation: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Memory in use, in thousandths.
    pub memory_milli: u32,
    /// Time that it takes for the same work over what is usual, in thousandths.
    pub slowdown_milli: u32,
    /// Name of its group.
    pub group: Option<String>,
    /// Its rank's state.
    pub rank: Option<RankState>,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// The limit that it names.
    pub limit: LimitHeader,
}

/// What requests chose, since the server's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selections {
    /// The server's life; zero if it does not say.
    pub incarnation: u64,
    /// The group's epoch.
    pub epoch: u64,
    /// The last pass begun.
    pub pass: u64,
    /// Selections by set and expert, one set behind the other.
    pub counts: Vec<u64>,
}

/// A model server.
#[derive(Clone, Debug)]
pub struct EngineClient {
    addr: SocketAddr,
    pool: Rc<Pool>,
}

impl EngineClient {
    /// The server at an address.
    pub fn new(addr: SocketAddr, pool: Rc<Pool>) -> Self {
        Self { addr, pool }
    }

    /// Its address.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its state now.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn state(&self) -> Result<EngineState, EngineError> {
        let FullAnswer { headers, body, .. } = self.get("/report").await?;
        let report: ReportBody = serde_json::from_slice(&body)?;
        Ok(engine_state(report, &headers::read_answer(StatusCode::OK, &headers)))
    }

    /// What its requests chose.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn selections(&self) -> Result<Selections, EngineError> {
        let FullAnswer { body, .. } = self.get("/picked").await?;
        let read: CountsBody = serde_json::from_slice(&body)?;
        let CountsBody { born, step, epoch, counts } = read;
        let incarnation = born.unwrap_or_default();
        Ok(Selections { incarnation, epoch, pass: step, counts: counts.0 })
    }

    /// The map in force at its rank: version, and experts by set.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn map(&self) -> Result<(u64, RankExperts), EngineError> {
        let FullAnswer { body, .. } = self.get("/picked?lists=1").await?;
        let lists: ListsBody = serde_json::from_slice(&body)?;
        Ok((lists.map.version, lists.map.experts))
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// No answer: the order may be carried out, now or seconds later.
    pub async fn order(&self, order: &Order) -> Result<OrderOutcome, EngineError> {
        let bytes = serde_json::to_vec(&order_body(order))?;
        let status = self.call(Method::POST, "/order", bytes, ORDER_TIMEOUT).await?.status;
        Ok(match status {
            200 | 202 => OrderOutcome::Accepted,
            409 => OrderOutcome::Conflict,
            412 => OrderOutcome::Fenced,
            _ => return Err(EngineError::Refused { status }),
        })
    }

    async fn get(&self, path: &str) -> Result<FullAnswer, EngineError> {
        let called = self.call(Method::GET, path, Vec::new(), CALL_TIMEOUT).await?;
        let status = called.status;
        if status == 200 { Ok(called) } else { Err(EngineError::Refused { status }) }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<FullAnswer, EngineError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.addr.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| EngineError::Refused { status: 400 })?;
        Ok(self.pool.call(self.addr, request, wait, ANSWER_BYTES_MAX).await?)
    }
}

/// An order as the pages have it.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    op: &'static str,
    fencing_token: u64,
    /// The number of orders that the rank has taken.
    expected_rev: u64,
    epoch: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    step: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    map: Option<&'a GroupMap>,
}

fn order_body(order: &Order) -> OrderBody<'_> {
    let (op, version, step, map) = match &order.kind {
        OrderKind::Load { version, map } => ("prepare", Some(*version), None, Some(&**map)),
        OrderKind::Schedule { version, pass } => ("arm", Some(*version), Some(*pass), None),
        OrderKind::Cancel { version } => ("disarm", Some(*version), None, None),
        OrderKind::Pause { pass } => ("hold", None, Some(*pass), None),
        OrderKind::Resume { pass } => ("go", None, Some(*pass), None),
    };
    OrderBody {
        op,
        fencing_token: order.token,
        expected_rev: order.order_seq,
        epoch: order.epoch,
        version,
        step,
        map,
    }
}

fn engine_state(report: ReportBody, head: &AnswerHead) -> EngineState {
    let memory = report.kv_used.saturating_mul(1_000).checked_div(report.kv_total).unwrap_or(0);
    let size = report.size;
    let group = report.group.as_ref().filter(|group| group.rank < size && size <= RANKS_MAX);
    let rank = group.map(|group| RankState {
        epoch: group.epoch,
        rank: group.rank,
        size,
        open: group.state == "open",
        busy: report.busy,
        pass: report.step,
        order_seq: report.seq,
        map: version(&report.map).unwrap_or(0),
        loaded: version(&report.prepared),
        scheduled: scheduled(&report.armed),
        paused: number(&report.held, "step"),
    });
    EngineState {
        incarnation: report.born.unwrap_or_default(),
        running: report.running,
        waiting: report.queued,
        memory_milli: u32::try_from(memory).unwrap_or(u32::MAX),
        slowdown_milli: (report.pace * 1_000.0) as u32,
        group: report.group.map(|group| group.name),
        rank,
        leaving: head.leaving,
        limit: head.limit,
    }
}

/// A version stands alone, or in an object.
fn version(value: &Value) -> Option<u64> {
    number(value, "version")
}

fn number(value: &Value, field: &str) -> Option<u64> {
    value.as_u64().or_else(|| value.get(field).and_then(Value::as_u64))
}

fn scheduled(value: &Value) -> Option<(u64, u64)> {
    let version = value.get("version").and_then(Value::as_u64)?;
    let pass = value.get("step").and_then(Value::as_u64)?;
    Some((version, pass))
}
