//! Bodies of unknown size: slow ones are read to their end, and ones that stall are given up,
//! also if a byte arrives now and then.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::TimeSpan;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;
use compio::runtime::{Runtime, spawn};
use hyper::Method;
use hyper::body::Bytes;
use web::{FetchLimit, MAX_FETCH_BYTES, WebAnswer, WebError, fetch_answer};

const STALL: Duration = Duration::from_millis(300);
/// Length of the body.
const LENGTH: usize = 3_000;
/// Time after which a body that stalls has to have been given up.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(2);

/// Serves one body of [`LENGTH`] bytes, `part` bytes after each `pause`.
async fn serve_slowly(part: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(Vec::with_capacity(4_096)).await;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
        stream.write_all(head.into_bytes()).await.0.unwrap();
        for _ in 0..LENGTH.div_ceil(part) {
            compio::time::sleep(pause).await;
            if stream.write_all(vec![b'x'; part]).await.0.is_err() {
                return;
            }
        }
    })
    .detach();
    address
}

async fn fetch(peer: SocketAddr) -> Result<WebAnswer, WebError> {
    let limit = FetchLimit::Steady { head: STALL.into(), stall: STALL.into() };
    let body = Bytes::new();
    fetch_answer("test", Method::GET, peer, "/", body, limit, MAX_FETCH_BYTES).await
}

/// Guards against a reader that a peer without progress occupies for good.
#[test]
fn a_body_that_arrives_byte_by_byte_is_given_up() {
    Runtime::new().unwrap().block_on(async {
        let peer = serve_slowly(1, TimeSpan::millis(20).into()).await;
        let begun = Instant::now();
        let outcome = compio::time::timeout(2 * GIVEN_UP_WITHIN, fetch(peer)).await;
        assert!(matches!(outcome, Ok(Err(WebError::Deadline { .. }))), "{outcome:?}");
        assert!(begun.elapsed() < GIVEN_UP_WITHIN, "{:?}", begun.elapsed());
    });
}

/// Guards against the loss of a slow body that makes progress, also beyond one stall timeout.
#[test]
fn a_slow_body_is_read_to_its_end() {
    Runtime::new().unwrap().block_on(async {
        let peer = serve_slowly(300, TimeSpan::millis(100).into()).await;
        let begun = Instant::now();
        let answer = fetch(peer).await.unwrap();
        assert_eq!(answer.bytes.len(), LENGTH);
        assert!(begun.elapsed() > 2 * STALL);
    });
}
