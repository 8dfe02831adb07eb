//! What a link between a process and its peer does to their connections.

use std::io::ErrorKind;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::time::{sleep, timeout};
use harness::{LinkState, TestLink};
use kernel::StopSignal;

/// Time for a byte or an end to arrive.
const ARRIVAL_LIMIT: Duration = Duration::from_millis(500);

/// What a reader sees within the limit.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    Bytes(Vec<u8>),
    End,
    Nothing,
}

/// Byte at which the peer closes the connection.
const CLOSING: u8 = b'x';

/// A connection through a link to a peer that returns what it gets.
async fn connect() -> (TestLink, TcpStream) {
    let any = "127.0.0.1:0".parse().unwrap();
    let listener = TcpListener::bind(any).await.unwrap();
    let target = listener.local_addr().unwrap();
    compio::runtime::spawn(async move {
        while let Ok((mut peer, _)) = listener.accept().await {
            compio::runtime::spawn(async move {
                while let Seen::Bytes(bytes) = read(&mut peer, None).await {
                    if bytes.contains(&CLOSING) {
                        return;
                    }
                    let _ = peer.write_all(bytes).await;
                }
            })
            .detach();
        }
    })
    .detach();
    let link = TestLink::start(any, target).await.unwrap();
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    assert_eq!(exchange(&mut stream, "a").await, Seen::Bytes(b"a".to_vec()));
    (link, stream)
}

async fn read(stream: &mut TcpStream, limit: Option<Duration>) -> Seen {
    let read = stream.read(Vec::with_capacity(16));
    let outcome = match limit {
        Some(limit) => timeout(limit, read).await,
        None => Ok(read.await),
    };
    match outcome.map(Into::into) {
        Ok((Ok(length), bytes)) if length > 0 => Seen::Bytes(bytes),
        Ok(_) => Seen::End,
        Err(_) => Seen::Nothing,
    }
}

async fn exchange(stream: &mut TcpStream, text: &str) -> Seen {
    let _ = stream.write_all(text.as_bytes().to_vec()).await;
    read(stream, Some(ARRIVAL_LIMIT)).await
}

#[test]
fn an_open_link_passes_on_that_the_peer_has_closed_the_connection() {
    kernel::run(async {
        let (_link, mut stream) = connect().await;
        assert_eq!(exchange(&mut stream, "x").await, Seen::End);
    })
    .unwrap();
}

#[test]
fn a_link_whose_target_has_ended_refuses_connections() {
    kernel::run(async {
        let any = "127.0.0.1:0".parse().unwrap();
        let ended = StopSignal::new();
        let link = TestLink::start_until(any, any, ended.clone()).await.unwrap();
        TcpStream::connect(link.address()).await.unwrap();
        ended.raise();
        sleep(Duration::from_millis(20)).await;
        let refused = TcpStream::connect(link.address()).await.unwrap_err();
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    })
    .unwrap();
}

#[test]
fn a_cut_link_closes_its_connections_and_refuses_new_ones() {
    kernel::run(async {
        let (link, mut stream) = connect().await;
        link.set(LinkState::Cut);
        assert_eq!(read(&mut stream, Some(ARRIVAL_LIMIT)).await, Seen::End);
        let mut next = TcpStream::connect(link.address()).await.unwrap();
        assert_eq!(exchange(&mut next, "b").await, Seen::End);
        link.set(LinkState::Open);
        let mut next = TcpStream::connect(link.address()).await.unwrap();
        assert_eq!(exchange(&mut next, "c").await, Seen::Bytes(b"c".to_vec()));
    })
    .unwrap();
}

#[test]
fn the_connections_of_a_lost_link_stay_open_and_silent() {
    kernel::run(async {
        let (link, mut stream) = connect().await;
        link.set(LinkState::Lost);
        let mut during = TcpStream::connect(link.address()).await.unwrap();
        assert_eq!(exchange(&mut stream, "b").await, Seen::Nothing);
        assert_eq!(exchange(&mut during, "b").await, Seen::Nothing);
        link.set(LinkState::Open);
        assert_eq!(exchange(&mut stream, "c").await, Seen::Nothing);
        assert_eq!(exchange(&mut during, "c").await, Seen::Nothing);
        let mut next = TcpStream::connect(link.address()).await.unwrap();
        assert_eq!(exchange(&mut next, "d").await, Seen::Bytes(b"d".to_vec()));
    })
    .unwrap();
}

#[test]
fn a_stalled_link_holds_back_what_comes_until_it_opens() {
    kernel::run(async {
        for state in [LinkState::Stalled, LinkState::AnswersStalled] {
            let (link, mut stream) = connect().await;
            link.set(state);
            sleep(Duration::from_millis(20)).await;
            assert_eq!(exchange(&mut stream, "b").await, Seen::Nothing);
            link.set(LinkState::Open);
            assert_eq!(read(&mut stream, Some(ARRIVAL_LIMIT)).await, Seen::Bytes(b"b".to_vec()));
        }
    })
    .unwrap();
}

#[test]
fn a_link_can_be_cut_for_the_connections_of_one_process_only() {
    kernel::run(async {
        for (pid, passes) in [(std::process::id(), false), (1, true)] {
            let (link, mut open) = connect().await;
            link.set_for(pid, LinkState::NewCut);
            let mut fresh = TcpStream::connect(link.address()).await.unwrap();
            let expected = if passes { Seen::Bytes(b"b".to_vec()) } else { Seen::End };
            assert_eq!(exchange(&mut fresh, "b").await, expected);
            // Connections that were open before go on.
            assert_eq!(exchange(&mut open, "c").await, Seen::Bytes(b"c".to_vec()));
        }
    })
    .unwrap();
}
