//! Interim responses before a final one: a few pass, any number does not.

use std::net::SocketAddr;

use base::TimeSpan;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;
use compio::runtime::{Runtime, spawn};
use hyper::Method;
use hyper::body::Bytes;
use web::{MAX_INTERIM_RESPONSES, WebError, fetch};

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n";
const LIMIT: TimeSpan = TimeSpan::seconds(5);

/// Answers one request with `text`, `part` bytes at a time.
async fn serve(text: String, part: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        let _ = stream.read(Vec::with_capacity(4_096)).await;
        for bytes in text.as_bytes().chunks(part) {
            if stream.write_all(bytes.to_vec()).await.0.is_err() {
                return;
            }
            compio::time::sleep(std::time::Duration::from_micros(200)).await;
        }
    })
    .detach();
    address
}

/// Fetches an answer with `body` after `count` interim responses, which arrives in parts.
async fn fetch_after(count: usize, body: &str, part: usize) -> Result<Bytes, WebError> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let peer = serve(INTERIM.repeat(count) + &head + body, part).await;
    fetch("test", Method::GET, peer, "/", Bytes::new(), LIMIT).await
}

#[test]
fn an_answer_after_a_few_interim_responses_is_read() {
    Runtime::new().unwrap().block_on(async {
        for part in [7, 100, 16 << 10] {
            let answer = fetch_after(MAX_INTERIM_RESPONSES, "whole", part).await;
            assert_eq!(answer.unwrap(), "whole", "{part}");
        }
    });
}

/// Guards against processor time that a peer takes with heads that are no answer.
#[test]
fn an_answer_after_many_interim_responses_is_given_up() {
    Runtime::new().unwrap().block_on(async {
        for part in [7, 100, 16 << 10] {
            let answer = fetch_after(MAX_INTERIM_RESPONSES + 1, "whole", part).await;
            assert!(matches!(answer, Err(WebError::TooManyInterim { .. })), "{part}: {answer:?}");
        }
    });
}

#[test]
fn a_body_that_looks_like_interim_responses_is_read() {
    Runtime::new().unwrap().block_on(async {
        let body = INTERIM.repeat(2 * MAX_INTERIM_RESPONSES);
        for part in [7, 16 << 10] {
            let answer = fetch_after(1, &body, part).await;
            assert_eq!(answer.unwrap(), body, "{part}");
        }
    });
}
