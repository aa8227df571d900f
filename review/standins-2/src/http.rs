//! HTTP/1.1 messages, read and written byte by byte, with the standard library alone.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Headers in their order.
pub type Headers = Vec<(String, String)>;

/// A request that a stand-in received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// An answer that a caller received whole.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// Returns a header's value.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut text = Vec::new();
    if from.read_until(b'\n', &mut text)? == 0 {
        return Ok(None);
    }
    if text.last() != Some(&b'\n') {
        return Err(bad("cut in a line"));
    }
    let text = String::from_utf8_lossy(&text);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

fn headers(from: &mut impl BufRead) -> io::Result<Headers> {
    let mut all = Headers::new();
    loop {
        let text = line(from)?.ok_or_else(|| bad("cut in the head"))?;
        if text.is_empty() {
            return Ok(all);
        }
        let (key, value) = text.split_once(':').ok_or_else(|| bad("no header"))?;
        all.push((key.trim().to_owned(), value.trim().to_owned()));
    }
}

fn body(from: &mut impl BufRead, headers: &Headers, until_close: bool) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    if header(headers, "transfer-encoding").is_some() {
        loop {
            let size = line(from)?.ok_or_else(|| bad("cut in the body"))?;
            let size = size.split(';').next().unwrap_or_default().trim().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|_| bad("no chunk size"))?;
            let mut chunk = vec![0; size];
            from.read_exact(&mut chunk)?;
            bytes.extend(chunk);
            line(from)?.ok_or_else(|| bad("cut in the body"))?;
            if size == 0 {
                return Ok(bytes);
            }
        }
    }
    match header(headers, "content-length").map(str::parse::<usize>) {
        Some(Ok(length)) => {
            bytes.resize(length, 0);
            from.read_exact(&mut bytes)?;
        }
        Some(Err(_)) => return Err(bad("no length")),
        None if until_close => {
            from.read_to_end(&mut bytes)?;
        }
        None => (),
    }
    Ok(bytes)
}

/// Reads a request; `None` if the connection ended before one.
pub fn read_request(from: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(first) = line(from)? else { return Ok(None) };
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let (method, target) = (method.to_owned(), target.to_owned());
    let headers = headers(from)?;
    let body = body(from, &headers, false)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// Reads the head of an answer.
pub fn read_head(from: &mut impl BufRead) -> io::Result<(u16, Headers)> {
    let first = line(from)?.ok_or_else(|| bad("closed without an answer"))?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| bad("bytes that are not an answer"))?;
    Ok((status, headers(from)?))
}

/// Reads an answer.
pub fn read_answer(from: &mut impl BufRead) -> io::Result<Answer> {
    let (status, headers) = read_head(from)?;
    let body = body(from, &headers, true)?;
    Ok(Answer { status, headers, body })
}

/// Encodes an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Opens a connection that gives up reads after `wait`.
pub fn connect(to: SocketAddr, wait: Duration) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    Ok(BufReader::new(stream))
}

/// Sends bytes over a connection and reads the answer.
pub fn exchange(over: &mut BufReader<TcpStream>, bytes: &[u8]) -> io::Result<Answer> {
    over.get_mut().write_all(bytes)?;
    read_answer(over)
}
