//! Responses whose status is that of no answer.

use std::net::SocketAddr;

use base::TimeSpan;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;
use compio::runtime::{Runtime, spawn};
use hyper::Method;
use hyper::body::Bytes;
use web::{SendFault, WebError, fetch};

const LIMIT: TimeSpan = TimeSpan::seconds(5);

/// Answers one request with `line` as the line of the status.
async fn serve(line: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(Vec::with_capacity(4_096)).await;
        let text = format!("{line}\r\nContent-Length: 2\r\n\r\n{{}}");
        let _ = stream.write_all(text.into_bytes()).await;
    })
    .detach();
    address
}

async fn fetch_from(line: &'static str) -> Result<Bytes, WebError> {
    fetch("test", Method::GET, serve(line).await, "/", Bytes::new(), LIMIT).await
}

/// Guards against MIXED: what nodes, the store or a runner's interface answer with such a status counts as an answer.
#[test]
fn a_response_whose_status_is_none_may_have_been_followed() {
    Runtime::new().unwrap().block_on(async {
        for line in ["000 None", "101 Switching Protocols", "600 Beyond", "999 Beyond"] {
            for version in ["HTTP/1.1", "HTTP/1.0"] {
                let line = format!("{version} {line}").leak();
                let error = fetch_from(line).await.expect_err(line);
                assert_eq!(error.send_fault(), SendFault::MaybeSent, "{line}: {error}");
                assert!(!matches!(error, WebError::Status { .. }), "{line}: {error}");
            }
        }
    });
}

#[test]
fn a_response_with_a_status_is_an_answer() {
    Runtime::new().unwrap().block_on(async {
        assert_eq!(fetch_from("HTTP/1.1 200 OK").await.unwrap(), "{}");
        let last = fetch_from("HTTP/1.1 599 Last").await;
        assert!(matches!(last, Err(WebError::Status { status: 599, .. })), "{last:?}");
    });
}
