//! Which requests count as repeats of one another.

use base::RequestContent;
use base::prelude::*;

fn fingerprint(host: &str, path: &str, workspace: Option<&str>, body: &str) -> RequestFingerprint {
    let workspace: Option<WorkspaceId> = workspace.map(|name| name.parse().unwrap());
    let body = body.as_bytes();
    RequestContent { host, path, workspace: workspace.as_ref(), body }.fingerprint()
}

#[test]
fn a_request_with_the_same_host_path_caller_and_body_is_a_repeat() {
    let first = fingerprint("yard.example", "/look/1?a=b", Some("shop"), "body");
    assert_eq!(first, fingerprint("Yard.example", "/look/1?a=b", Some("shop"), "body"));
    let others = [
        fingerprint("other.example", "/look/1?a=b", Some("shop"), "body"),
        fingerprint("yard.example", "/look/1?a=c", Some("shop"), "body"),
        fingerprint("yard.example", "/look/1?a=b", Some("bench"), "body"),
        fingerprint("yard.example", "/look/1?a=b", None, "body"),
        fingerprint("yard.example", "/look/1?a=b", Some("shop"), "bodz"),
        fingerprint("yard.example", "/look/1?a=", Some("bshop"), "body"),
    ];
    for other in others {
        assert_ne!(first, other);
    }
}

#[test]
fn a_fingerprint_is_read_back_from_its_text() {
    let first = fingerprint("yard.example", "/look/1", Some("shop"), "body");
    assert_eq!(first.to_string().parse(), Ok(first));
}
