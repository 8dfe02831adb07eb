//! Bodies larger than all buffers of a connection, in both directions.

use std::net::SocketAddr;

use base::TimeSpan;
use compio::runtime::{Runtime, spawn};
use hyper::body::Bytes;
use hyper::{Method, Response};
use kernel::StopSignal;
use web::{
    FetchLimit, ServerLimits, WebAnswer, WebError, WebRequest, WebServer, fetch_answer, full_body,
    read_bounded,
};

/// Beyond the buffers of a socket, and of no whole number of segments.
const LENGTH: usize = (9 << 20) + 12_345;
const LIMIT: FetchLimit = FetchLimit::Whole(TimeSpan::seconds(20));

/// Bytes whose place shows in their values.
fn numbered_bytes() -> Bytes {
    (0..LENGTH).map(|place| (place % 251) as u8).collect::<Vec<u8>>().into()
}

/// Starts a server that answers each request with its body.
async fn start_echo() -> SocketAddr {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = WebServer::bind(address, ServerLimits::default()).await.unwrap();
    let address = server.address();
    let handler = |request: WebRequest| async {
        let bytes = read_bounded("test", request.into_body(), LENGTH).await.unwrap();
        Response::new(full_body(bytes))
    };
    spawn(async move { server.serve(StopSignal::default(), handler).await }).detach();
    address
}

async fn send_large(max_bytes: usize) -> Result<WebAnswer, WebError> {
    let peer = start_echo().await;
    fetch_answer("test", Method::POST, peer, "/", numbered_bytes(), LIMIT, max_bytes).await
}

/// Guards against bytes that are lost or change places where buffers end.
#[test]
fn a_large_body_arrives_whole_in_both_directions() {
    Runtime::new().unwrap().block_on(async {
        let answer = send_large(LENGTH).await.unwrap();
        assert!(answer.bytes == numbered_bytes(), "{} bytes of {LENGTH}", answer.bytes.len());
    });
}

/// Guards against a body that is accepted beyond its limit.
#[test]
fn a_body_one_byte_too_long_is_given_up() {
    Runtime::new().unwrap().block_on(async {
        let error = send_large(LENGTH - 1).await.unwrap_err();
        assert!(matches!(error, WebError::TooLong { .. }), "{error}");
    });
}
