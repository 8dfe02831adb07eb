//! The platform's store, as far as a node uses it: keyed topics with one partition.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::{answer, read_request};

type Records = BTreeMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Default)]
pub struct Store {
    records: Mutex<Records>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self::default());
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut records = self.records.lock().unwrap();
        let entry = (key.to_owned(), value.as_bytes().to_vec());
        records.entry(topic.to_owned()).or_default().push(entry);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: std::net::TcpStream) {
        let Some(request) = read_request(&mut stream) else { return };
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let path = request.path.split('?').next().unwrap_or_default();
        match path {
            "/api/log-newest" => {
                let records = self.records.lock().unwrap();
                let log = records.get(&topic).cloned().unwrap_or_default();
                let mut newest = BTreeMap::new();
                for (offset, (key, value)) in log.iter().enumerate() {
                    newest.insert(key, (offset, value));
                }
                let entries: Vec<String> = newest
                    .iter()
                    .filter(|(_, (_, value))| !value.is_empty())
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
                    })
                    .collect();
                let body = format!(
                    r#"{{"entries":[{}],"hasMore":false,"end":{}}}"#,
                    entries.join(","),
                    log.len()
                );
                let headers = "Content-Type: application/json\r\n";
                answer(&mut stream, "200 OK", headers, body.as_bytes());
            }
            "/api/log-read" => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let (from, wait): (usize, u64) =
                    (number("from").unwrap_or(0) as usize, number("waitMs").unwrap_or(0));
                let end_at = Instant::now() + Duration::from_millis(wait);
                let mut records = self.records.lock().unwrap();
                loop {
                    let length = records.get(&topic).map_or(0, Vec::len);
                    let left = end_at.saturating_duration_since(Instant::now());
                    if length > from || left.is_zero() {
                        break;
                    }
                    records = self.changed.wait_timeout(records, left).unwrap().0;
                }
                let log = records.get(&topic).cloned().unwrap_or_default();
                drop(records);
                if from > log.len() {
                    answer(&mut stream, "410 Gone", "", br#"{"first":0}"#);
                    return;
                }
                let mut body = (log.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in &log[from..] {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                answer(&mut stream, "200 OK", "", &body);
            }
            "/api/log-append" => {
                let mut rest = &request.body[..];
                let mut records = self.records.lock().unwrap();
                let log = records.entry(topic).or_default();
                let offset = log.len();
                while rest.len() > 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    let record = &rest[4..4 + length];
                    let key = 1 + record[0] as usize;
                    let name = String::from_utf8_lossy(&record[1..key]).into_owned();
                    log.push((name, record[key..].to_vec()));
                    rest = &rest[4 + length..];
                }
                let body = format!(r#"{{"offset":{offset},"end":{}}}"#, log.len());
                drop(records);
                self.changed.notify_all();
                let headers = "Content-Type: application/json\r\n";
                answer(&mut stream, "200 OK", headers, body.as_bytes());
            }
            _ => answer(&mut stream, "404 Not Found", "", b""),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - three.len()));
        for place in 0..4 {
            if place <= three.len() {
                text.push(LETTERS[(number >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
