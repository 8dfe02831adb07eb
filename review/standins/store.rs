//! The platform's store, as far as nodes use it: keyed topics in a log.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{listen, read_body, read_head, reply, request_line};

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    /// It takes connections and answers nothing.
    is_down: bool,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let store = Self { address, state: Arc::default() };
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        changed.notify_all();
    }

    /// Takes the store away, or brings it back.
    pub fn set_down(&self, is_down: bool) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().is_down = is_down;
        changed.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.state.0.lock().unwrap().is_down
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(head)) = read_head(&mut stream) {
            let Ok(body) = read_body(&mut stream, &head) else { return };
            let (_, target) = request_line(&head);
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let topic = query.get("topic").copied().unwrap_or_default().to_owned();
            let answer = match path {
                "/api/log-newest" => self.newest(&topic),
                "/api/log-read" => self.read(&topic, &query),
                "/api/log-append" => self.append(&topic, &body),
                _ => Some(("404 Not Found", Vec::new())),
            };
            // A store that is away answers nothing on a connection that it has taken.
            let Some((status, bytes)) = answer else {
                std::thread::sleep(Duration::from_secs(60));
                return;
            };
            if reply(&mut stream, status, "", &bytes).is_err() {
                return;
            }
        }
    }

    fn newest(&self, topic: &str) -> Option<(&'static str, Vec<u8>)> {
        let state = self.state.0.lock().unwrap();
        if state.is_down {
            return None;
        }
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            if value.is_empty() {
                newest.remove(key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let entries: Vec<String> = newest
            .into_iter()
            .map(|(key, (offset, value))| {
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        let (entries, end) = (entries.join(","), records.len());
        Some(("200 OK", format!(r#"{{"entries":[{entries}],"hasMore":false,"end":{end}}}"#).into()))
    }

    fn read(&self, topic: &str, query: &HashMap<&str, &str>) -> Option<(&'static str, Vec<u8>)> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            if state.is_down {
                return None;
            }
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut bytes = Vec::new();
                bytes.extend_from_slice(&(records.len() as u64).to_be_bytes());
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    bytes.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    bytes.push(key.len() as u8);
                    bytes.extend_from_slice(key.as_bytes());
                    bytes.extend_from_slice(value);
                }
                return Some(("200 OK", bytes));
            }
            state = changed.wait_timeout(state, left.min(Duration::from_millis(50))).unwrap().0;
        }
    }

    fn append(&self, topic: &str, body: &[u8]) -> Option<(&'static str, Vec<u8>)> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.is_down {
            return None;
        }
        let records = state.topics.entry(topic.to_owned()).or_default();
        let (offset, mut at) = (records.len(), 0);
        while at + 5 <= body.len() {
            let length = u32::from_be_bytes(body[at..at + 4].try_into().unwrap()) as usize;
            let record = &body[at + 4..at + 4 + length];
            let key_end = 1 + record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            records.push((key, record[key_end..].to_vec()));
            at += 4 + length;
        }
        let end = records.len();
        changed.notify_all();
        Some(("200 OK", format!(r#"{{"offset":{offset},"end":{end}}}"#).into()))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = [part[0], *part.get(1).unwrap_or(&0), *part.get(2).unwrap_or(&0)];
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            if digit <= part.len() {
                text.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
