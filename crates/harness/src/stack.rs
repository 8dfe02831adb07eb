//! A running stack: stand-ins, stewards and entries as real processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use base::TimeSpan;
use hyper::Method;
use serde_json::{Value, json};
use web::{fetch, fetch_json};

use crate::process::run_tool;
use crate::{
    AddressBlock, HarnessError, Result, RunnerPlan, StackPlan, TestKeys, TestLink, TestProcess,
    VmPlan, wait_until,
};

/// Machine number of the platform's stand-ins.
const PLATFORM_MACHINE: u8 = 1;
/// Machine number of the first of our machines.
const FIRST_VM: u8 = 10;
/// Machine number of the first target.
const FIRST_RUNNER: u8 = 60;
/// Time for one exchange with a process.
const EXCHANGE_TIME: TimeSpan = TimeSpan::seconds(5);
/// Time in which a stack has to be ready.
const READY_TIME: Duration = Duration::from_secs(30);
/// The operator token of all entries, and its SHA-256.
pub const OPERATOR_TOKEN: &str = "test-operator";
const OPERATOR_HASH: &str = "1a3bde4175d7cfb457a7710efe93909a67389f0b4b64e25ce75d182308f2f738";

/// A running stack; everything is killed when it is dropped.
pub struct TestStack {
    /// What it consists of.
    pub plan: StackPlan,
    /// The platform's log.
    pub log: TestProcess,
    /// The platform's VM list.
    pub vm_list: TestProcess,
    /// The weight store.
    pub weights: TestProcess,
    /// Targets by name.
    pub runners: BTreeMap<String, TestProcess>,
    /// Links before targets, by the target's name.
    pub links: BTreeMap<String, TestLink>,
    /// Stewards by machine.
    pub stewards: BTreeMap<String, TestProcess>,
    /// Entries by machine.
    pub entries: BTreeMap<String, TestProcess>,
    keys: TestKeys,
    block: AddressBlock,
    folder: PathBuf,
}

impl TestStack {
    /// Starts everything, publishes the files, and waits until all entries serve.
    ///
    /// # Errors
    /// If anything does not start in time.
    pub async fn start(plan: StackPlan) -> Result<Self> {
        let mut stack = Self::start_platform(plan)?;
        for plan in stack.plan.runners.clone() {
            stack.start_runner(&plan).await?;
        }
        stack.put_vm_list().await?;
        for plan in stack.plan.vms.clone() {
            stack.start_vm(&plan.vm)?;
        }
        if !stack.plan.publish.is_empty() {
            stack.publish(&stack.plan.publish.clone())?;
            stack.wait_ready().await?;
        }
        Ok(stack)
    }

    fn start_platform(plan: StackPlan) -> Result<Self> {
        let block = AddressBlock::new();
        let listen = |service| vec!["--listen".to_owned(), platform(block, service)];
        let mut log_arguments = vec!["log".to_owned()];
        log_arguments.extend(listen(0));
        log_arguments.extend(plan.log_arguments.clone());
        let fake = |name: &str, service| {
            let mut arguments = vec![name.to_owned()];
            arguments.extend(listen(service));
            TestProcess::start("yard-fakes", &arguments)
        };
        let folder = std::env::temp_dir().join(format!("yard-stack-{}", block.address(1, 0)));
        std::fs::create_dir_all(&folder).map_err(|source| HarnessError::Io {
            step: "create",
            what: folder.display().to_string(),
            source,
        })?;
        Ok(Self {
            log: TestProcess::start("yard-fakes", &log_arguments)?,
            vm_list: fake("vms", 1)?,
            weights: fake("weights", 2)?,
            plan,
            runners: BTreeMap::new(),
            links: BTreeMap::new(),
            stewards: BTreeMap::new(),
            entries: BTreeMap::new(),
            keys: TestKeys::new()?,
            block,
            folder,
        })
    }

    /// Starts (again) the stand-in of a target.
    ///
    /// # Errors
    /// If it does not start.
    pub async fn start_runner(&mut self, plan: &RunnerPlan) -> Result<()> {
        let number = self.runner_number(&plan.runner);
        let address = self.block.address(number, 0);
        let kind = if plan.models.is_empty() { "service" } else { "engine" };
        let mut arguments = vec![kind.to_owned(), "--listen".to_owned(), address.to_string()];
        arguments.extend(["--runner".to_owned(), plan.runner.clone()]);
        if !plan.models.is_empty() {
            arguments.extend(["--models".to_owned(), plan.models.join(",")]);
        }
        arguments.extend(plan.arguments.clone());
        let process = TestProcess::start("yard-fakes", &arguments)?;
        if plan.linked && !self.links.contains_key(&plan.runner) {
            let link = TestLink::start(self.block.address(number, 1), address).await?;
            self.links.insert(plan.runner.clone(), link);
        }
        self.runners.insert(plan.runner.clone(), process);
        Ok(())
    }

    /// Writes the whole VM list, with everything live.
    ///
    /// # Errors
    /// If the VM list does not answer.
    pub async fn put_vm_list(&self) -> Result<()> {
        let own = self.plan.vms.iter().map(|plan| self.vm_line(plan));
        let targets = self.plan.runners.iter().map(|plan| self.runner_line(plan));
        let list: Vec<Value> = own.chain(targets).collect();
        let body = json!({ "vms": list }).to_string();
        let peer = self.vm_list.address();
        fetch("put VM list", Method::PUT, peer, "/vms", body.into(), EXCHANGE_TIME).await?;
        Ok(())
    }

    /// Changes one line of the VM list: `live`, `leaving` or `gone`.
    ///
    /// # Errors
    /// If the VM list does not answer.
    pub async fn set_vm_state(&self, vm: &str, state: &str) -> Result<()> {
        let body = json!({ "state": state }).to_string();
        let path = format!("/vms/{vm}");
        let peer = self.vm_list.address();
        fetch("set VM state", Method::POST, peer, &path, body.into(), EXCHANGE_TIME).await?;
        Ok(())
    }

    /// Switches a fault of a stand-in.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn set_fault(&self, peer: SocketAddr, fault: &Value) -> Result<()> {
        let body = fault.to_string();
        fetch("set fault", Method::POST, peer, "/fault", body.into(), EXCHANGE_TIME).await?;
        Ok(())
    }

    /// Starts (again) the steward of a machine.
    ///
    /// # Errors
    /// If it does not start.
    pub fn start_steward(&mut self, vm: &str) -> Result<()> {
        let number = self.vm_number(vm);
        let mut settings = self.common_settings(vm);
        settings["peer"] = json!(self.block.address(number, 2));
        let overrides = self.plan.steward_settings.clone();
        let process = self.start_ours("yard-steward", vm, &settings, &overrides)?;
        self.stewards.insert(vm.to_owned(), process);
        Ok(())
    }

    /// Starts (again) the entry of a machine.
    ///
    /// # Errors
    /// If it does not start.
    pub fn start_entry(&mut self, vm: &str) -> Result<()> {
        let number = self.vm_number(vm);
        let mut settings = self.common_settings(vm);
        settings["address"] = json!(self.block.address(number, 0));
        settings["peer"] = json!(self.block.address(number, 1));
        settings["steward"] = json!(self.block.address(number, 2));
        settings["operator_tokens"] = json!([OPERATOR_HASH]);
        let overrides = self.plan.entry_settings.clone();
        let process = self.start_ours("yard-entry", vm, &settings, &overrides)?;
        self.entries.insert(vm.to_owned(), process);
        Ok(())
    }

    /// Kills the steward and the entry of a machine, as when the machine dies.
    ///
    /// # Errors
    /// If one cannot be killed.
    ///
    /// # Panics
    /// If there is no such machine.
    pub fn kill_vm(&mut self, vm: &str) -> Result<()> {
        for processes in [&mut self.stewards, &mut self.entries] {
            processes.get_mut(vm).expect("the machine is in the plan").kill()?;
        }
        Ok(())
    }

    /// Starts (again) the steward and the entry of a machine.
    ///
    /// # Errors
    /// If one does not start.
    pub fn start_vm(&mut self, vm: &str) -> Result<()> {
        self.start_steward(vm)?;
        self.start_entry(vm)
    }

    /// Publishes folders of files by the operators' command line.
    ///
    /// # Errors
    /// If it ends with an error.
    pub fn publish(&self, folders: &[PathBuf]) -> Result<String> {
        let mut arguments = vec!["publish".to_owned()];
        arguments.extend(folders.iter().map(|folder| folder.display().to_string()));
        arguments.extend(["--log".to_owned(), self.log.address().to_string()]);
        arguments.extend(["--vms".to_owned(), self.vm_list.address().to_string()]);
        let (code, output) = run_tool("yard", &arguments)?;
        if code == 0 {
            return Ok(output);
        }
        Err(HarnessError::Tool { program: "yard".into(), status: code.to_string(), output })
    }

    /// Waits until every entry has a configuration and knows all targets.
    ///
    /// # Errors
    /// If that does not come about.
    pub async fn wait_ready(&self) -> Result<()> {
        let targets = self.plan.runners.len() as u64;
        for vm in self.plan.vms.iter().map(|plan| &plan.vm) {
            wait_until(&format!("{vm} is ready"), READY_TIME, async || {
                let status = self.status(vm).await.ok()?;
                let ready = status["config_offset"].as_u64()? > 0
                    && status["runners"].as_u64()? >= targets
                    && status["entries"].as_u64()? >= self.plan.vms.len() as u64;
                ready.then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// The status of a machine's entry.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn status(&self, vm: &str) -> Result<Value> {
        Ok(fetch_json("status", self.entry(vm), "/v1/status", EXCHANGE_TIME).await?)
    }

    /// Gets a JSON document from a process.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn ask(&self, peer: SocketAddr, path: &str) -> Result<Value> {
        Ok(fetch_json("ask", peer, path, EXCHANGE_TIME).await?)
    }

    /// The caller-facing address of a machine's entry.
    ///
    /// # Panics
    /// If there is no such machine.
    #[must_use]
    pub fn entry(&self, vm: &str) -> SocketAddr {
        self.entries[vm].address()
    }

    /// The address of a target's stand-in, past any link.
    ///
    /// # Panics
    /// If there is no such target.
    #[must_use]
    pub fn runner(&self, runner: &str) -> SocketAddr {
        self.runners[runner].address()
    }

    /// A new, empty folder for files of this stack.
    ///
    /// # Errors
    /// If it cannot be made.
    pub fn folder(&self, name: &str) -> Result<PathBuf> {
        let folder = self.folder.join(name);
        std::fs::create_dir_all(&folder).map_err(|source| HarnessError::Io {
            step: "create",
            what: folder.display().to_string(),
            source,
        })?;
        Ok(folder)
    }

    fn start_ours(
        &self,
        program: &str,
        vm: &str,
        settings: &Value,
        overrides: &[String],
    ) -> Result<TestProcess> {
        let path = self.folder.join(format!("{program}-{vm}.jsonc"));
        std::fs::write(&path, format!("{settings:#}")).map_err(|source| HarnessError::Io {
            step: "write",
            what: path.display().to_string(),
            source,
        })?;
        let mut arguments = vec!["--settings".to_owned(), path.display().to_string()];
        for change in overrides {
            arguments.extend(["--set".to_owned(), change.clone()]);
        }
        TestProcess::start(program, &arguments)
    }

    fn common_settings(&self, vm: &str) -> Value {
        let place = self.plan.vms.iter().find(|plan| plan.vm == vm).map(|plan| plan.place.clone());
        json!({
            "vm": vm,
            "place": place,
            "log": self.log.address(),
            "vm_list": self.vm_list.address(),
            "keys": {
                "signing": [{ "id": 1, "secret_hex": self.keys.signing_secret }],
                "certificate": self.keys.certificate,
                "private_key": self.keys.private_key,
                "authority": self.keys.authority,
            },
        })
    }

    fn vm_line(&self, plan: &VmPlan) -> Value {
        let number = self.vm_number(&plan.vm);
        json!({
            "vm": plan.vm,
            "place": plan.place,
            "role": "entry",
            "service": null,
            "address": self.block.address(number, 0),
            "steward": self.block.address(number, 2),
            "state": "live",
        })
    }

    fn runner_line(&self, plan: &RunnerPlan) -> Value {
        let number = self.runner_number(&plan.runner);
        json!({
            "vm": plan.runner,
            "place": plan.place,
            "role": "runner",
            "service": plan.service,
            "address": self.block.address(number, u16::from(plan.linked)),
            "steward": null,
            "state": "live",
        })
    }

    fn vm_number(&self, vm: &str) -> u8 {
        let index = self.plan.vms.iter().position(|plan| plan.vm == vm);
        FIRST_VM + index.expect("the machine is in the plan") as u8
    }

    fn runner_number(&self, runner: &str) -> u8 {
        let index = self.plan.runners.iter().position(|plan| plan.runner == runner);
        FIRST_RUNNER + index.expect("the target is in the plan") as u8
    }
}

impl Drop for TestStack {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn platform(block: AddressBlock, service: u16) -> String {
    block.address(PLATFORM_MACHINE, service).to_string()
}
