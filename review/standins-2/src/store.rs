//! The platform's store, as `PROTOCOL.md` of the users describes it: lists, watches, and writes
//! under a revision. It keeps its history, and never fails.

use crate::http::{self, Request};
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision and `spec`, by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name, and `spec` (none: deleted).
    history: Vec<(u64, String, String, Option<String>)>,
}

/// The objects of the store. Several addresses may lead to them.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// An address of the store.
pub struct Door {
    pub addr: SocketAddr,
    open: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

fn told(name: &str, revision: u64, spec: Option<&str>) -> String {
    let spec = spec.unwrap_or("null");
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

impl Store {
    /// Writes an object. Its return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.write(kind, name, Some(spec.to_owned()));
    }

    /// Removes an object. Its return is the acknowledgement.
    pub fn remove(&self, kind: &str, name: &str) {
        self.write(kind, name, None);
    }

    fn write(&self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        match &spec {
            Some(spec) => drop(state.objects.insert(key, (revision, spec.clone()))),
            None => drop(state.objects.remove(&key)),
        }
        state.history.push((revision, kind.to_owned(), name.to_owned(), spec));
        drop(state);
        self.changed.notify_all();
        revision
    }

    /// Opens an address on loopback.
    pub fn open(self: &Arc<Self>) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let open = Arc::new(Mutex::new(Some(Vec::new())));
        let (store, conns) = (self.clone(), open.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut open = conns.lock().unwrap();
                let Some(list) = open.as_mut() else { return };
                list.push(stream.try_clone().unwrap());
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Door { addr, open }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, text) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            let bytes = http::answer(status, &headers, text.as_bytes());
            if reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let number = |key: &str| {
            let found = query.split('&').find_map(|part| part.strip_prefix(key));
            found.and_then(|text| text.parse::<u64>().ok())
        };
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        match (request.method.as_str(), name) {
            ("GET", None) => match number("watch=") {
                Some(since) => self.watch(kind, since, number("wait_ms=").unwrap_or(0)),
                None => self.list(kind),
            },
            ("GET", Some(name)) => self.object(kind, name),
            ("POST", None) => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let name = between(&text, "\"name\":\"", "\"").unwrap_or_default();
                if self.object(kind, &name).0.starts_with("200") {
                    return ("409 Conflict", "{}".to_owned());
                }
                self.write(kind, &name, Some(spec(&text)));
                self.object(kind, &name)
            }
            ("PUT", Some(name)) => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                self.write(kind, name, Some(spec(&text)));
                self.object(kind, name)
            }
            ("DELETE", Some(name)) => {
                self.write(kind, name, None);
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn object(&self, kind: &str, name: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => ("200 OK", told(name, *revision, Some(spec))),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((other, _), _)| other == kind);
        let items: Vec<String> =
            of_kind.map(|((_, name), (at, spec))| told(name, *at, Some(spec))).collect();
        let (items, at) = (items.join(","), state.revision);
        ("200 OK", format!(r#"{{"items":[{items}],"has_more":false,"timestamp":{at}}}"#))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (&'static str, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state.history.iter().filter(|(at, of, ..)| *at > since && of == kind);
            let events: Vec<String> = new
                .map(|(at, _, name, spec)| {
                    let object = told(name, *at, spec.as_deref());
                    format!(r#"{{"deleted":{},"object":{object}}}"#, spec.is_none())
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return ("200 OK", format!(r#"{{"events":[{events}],"timestamp":{at}}}"#));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl Door {
    /// Closes the address: its connections end, and new ones are refused.
    pub fn close(&self) {
        let open = self.open.lock().unwrap().take();
        open.into_iter().flatten().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        // Wakes the listener, which ends.
        drop(TcpStream::connect(self.addr));
    }
}

fn between(text: &str, start: &str, end: &str) -> Option<String> {
    let rest = &text[text.find(start)? + start.len()..];
    Some(rest[..rest.find(end)?].to_owned())
}

/// Returns the text of an object's `spec`: the braces after its name.
fn spec(text: &str) -> String {
    let Some(at) = text.find("\"spec\":") else { return "null".to_owned() };
    let rest = &text[at + 7..];
    let mut depth = 0;
    for (at, byte) in rest.bytes().enumerate() {
        depth += i32::from(byte == b'{') - i32::from(byte == b'}');
        if depth == 0 {
            return rest[..=at].to_owned();
        }
    }
    "null".to_owned()
}
