//! `yard dump`.

use std::net::SocketAddr;

use argh::FromArgs;
use base::TimeSpan;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use platform::VmListClient;
use web::{WebError, full_body, read_bounded, send_once};

use crate::output::print_json;
use crate::{ExitStatus, Result, YardError};

/// Time of one exchange.
const EXCHANGE_LIMIT: TimeSpan = TimeSpan::seconds(5);
/// Longest dump, in bytes.
const MAX_DUMP_BYTES: usize = 64 << 20;
/// Variable of the environment that holds the operator token.
const TOKEN_VARIABLE: &str = "YARD_OPERATOR_TOKEN";

/// Show the whole state of the entry on a VM, as JSON.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "dump",
    example = "YARD_OPERATOR_TOKEN=… {command_name} vm-1 --vms 10.0.0.2:7001",
    note = "The token is taken from YARD_OPERATOR_TOKEN, so that it shows in no list of processes."
)]
pub struct DumpCommand {
    /// name of the VM, or IP:PORT of its entry
    #[argh(positional)]
    vm: String,
    /// address of the platform's VM list, IP:PORT; not needed with IP:PORT
    #[argh(option)]
    vms: Option<SocketAddr>,
}

impl DumpCommand {
    pub async fn run(self) -> Result<ExitStatus> {
        let argument = |reason: String| YardError::Argument { step: "dump", reason };
        let token = std::env::var(TOKEN_VARIABLE)
            .map_err(|_| argument(format!("{TOKEN_VARIABLE} is not set")))?;
        let address = self.address().await?;
        let request = Request::get("/v1/dump")
            .header(AUTHORIZATION, format!("Bearer {token}"))
            .body(full_body(""))
            .map_err(|_| argument(format!("{TOKEN_VARIABLE} holds what no header may hold")))?;
        let dump = fetch_dump(address, request).await.map_err(|source| YardError::Entry {
            step: format!("dump of {}", self.vm),
            source: Box::new(source),
        })?;
        print_json(&dump);
        Ok(ExitStatus::Done)
    }

    async fn address(&self) -> Result<SocketAddr> {
        if let Ok(address) = self.vm.parse() {
            return Ok(address);
        }
        let argument = |reason: String| YardError::Argument { step: "dump", reason };
        let list =
            self.vms.ok_or_else(|| argument("--vms is needed to find a VM by name".into()))?;
        let vms = VmListClient::new(list, EXCHANGE_LIMIT).get().await?;
        let found = vms.iter().find(|vm| vm.vm.as_str() == self.vm);
        found.map(|vm| vm.address).ok_or_else(|| argument(format!("no VM {} on the list", self.vm)))
    }
}

async fn fetch_dump(
    peer: SocketAddr,
    request: Request<web::WebBody>,
) -> web::Result<serde_json::Value> {
    let step = "dump";
    let response = send_once(peer, request, EXCHANGE_LIMIT, EXCHANGE_LIMIT).await?;
    let status = response.status().as_u16();
    let bytes = read_bounded(step, response.into_body(), MAX_DUMP_BYTES).await?;
    if status >= 400 {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        return Err(WebError::Status { step, peer, status, text });
    }
    serde_json::from_slice(&bytes).map_err(|source| WebError::Json { step, source })
}
