//! Client of a model server, used by sidecars: reads the server's state and its expert
//! selections, and gives orders that change the expert map.

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

/// Timeout of reads; the server normally runs on the same machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of orders. Short, since an order without an answer is repeated, and the group may be
/// paused until then.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);
/// Far larger than the counts and maps of large models. Those of 12 sets of 128 experts take some
/// 20 KB.
const ANSWER_BYTES_MAX: usize = 1 << 20;

/// Maximum number of ranks of a group. Memory use grows with the number, so the rank in a report
/// of a larger group is ignored.
const RANKS_MAX: u32 = 4_096;

/// Why a call to a model server failed.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The server answered with an error status.
    #[error("the model server answered {status}; the call will be repeated")]
    Refused { status: u16 },
    /// There was no complete answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The answer is not in the documented format.
    #[error("malformed answer of the model server: {0}; check the server's version")]
    Malformed(#[from] serde_json::Error),
}

#[derive(Debug, Deserialize)]
struct ReportBody {
    /// Incarnation of the server; compared only for equality.
    born: Option<u64>,
    #[serde(default)]
    busy: bool,
    /// Number of orders that the rank has taken.
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
    /// Time for the same work as a multiple of the usual time; above 1 is slow.
    #[serde(default = "default_pace")]
    pace: f64,
    group: Option<GroupBody>,
    #[serde(default)]
    size: u32,
    /// Last pass that began.
    #[serde(default)]
    step: u64,
    /// Version of the map in force.
    #[serde(default)]
    map: Value,
    /// Version of the loaded map.
    #[serde(default)]
    prepared: Value,
    /// Version and pass of the scheduled map.
    #[serde(default)]
    armed: Value,
    /// Pass before which the rank is paused.
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

/// The numbers of nested lists in order. Decoded directly into one list, since a sidecar reads
/// thousands of them several times a second.
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

/// State of a model server.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// 0 if the server names none.
    pub incarnation: u64,
    pub running: u32,
    pub waiting: u32,
    /// Used part of the KV cache, in thousandths.
    pub memory_milli: u32,
    /// Time for the same work as a multiple of the usual time, in thousandths.
    pub slowdown_milli: u32,
    /// Name of the server's rank group.
    pub group: Option<String>,
    /// `None` if the server is in no group, or the reported rank or size is out of range.
    pub rank: Option<RankState>,
    pub leaving: bool,
    pub limit: LimitHeader,
}

/// How often each expert was selected since the server's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selections {
    /// Incarnation of the server; 0 if the server names none.
    pub incarnation: u64,
    pub epoch: u64,
    /// Last pass that began.
    pub pass: u64,
    /// Selections by expert, the sets one after another.
    pub counts: Vec<u64>,
}

/// A client of one model server.
#[derive(Clone, Debug)]
pub struct EngineClient {
    addr: SocketAddr,
    pool: Rc<Pool>,
}

impl EngineClient {
    /// Creates a client of the server at an address.
    pub fn new(addr: SocketAddr, pool: Rc<Pool>) -> Self {
        Self { addr, pool }
    }

    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reads the server's current state.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn state(&self) -> Result<EngineState, EngineError> {
        let FullAnswer { headers, body, .. } = self.get("/report").await?;
        let report: ReportBody = serde_json::from_slice(&body)?;
        Ok(engine_state(report, &headers::read_answer(StatusCode::OK, &headers)))
    }

    /// Reads the expert selections of the server's rank.
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

    /// Reads the map in force at the server's rank. Returns the version, and the experts by set.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn map(&self) -> Result<(u64, RankExperts), EngineError> {
        let FullAnswer { body, .. } = self.get("/picked?lists=1").await?;
        let lists: ListsBody = serde_json::from_slice(&body)?;
        Ok((lists.map.version, lists.map.experts))
    }

    /// Gives an order to the server's rank.
    ///
    /// # Errors
    ///
    /// See [`EngineError`]. If there is no answer, the rank may still carry out the order, even
    /// seconds later.
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
        let answer = self.call(Method::GET, path, Vec::new(), CALL_TIMEOUT).await?;
        let status = answer.status;
        if status == 200 { Ok(answer) } else { Err(EngineError::Refused { status }) }
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

/// Body of an order.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    op: &'static str,
    fencing_token: u64,
    /// Number of orders that the rank must have taken before.
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

/// Decodes a version, which is a number or the `version` field of an object.
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
