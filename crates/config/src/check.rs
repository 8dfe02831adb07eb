//! Validates the operators' files, alone and against each other, before they are published.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use base::{VmRecord, VmRole};
use settings::{SettingsDiagnostic, field_line};
use strsim::jaro_winkler as similarity;

use crate::{FileKind, ParsedFile, ServiceFile, WorkspacesFile};

/// Severity of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultLevel {
    /// Possibly a mistake; the file can be published.
    Warning,
    /// The file must not be published.
    Error,
}

impl fmt::Display for FaultLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

/// One fault of a published file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileFault {
    /// Its severity.
    pub level: FaultLevel,
    /// Its position, and what was found and expected.
    pub fault: SettingsDiagnostic,
}

impl fmt::Display for FileFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.level, self.fault)
    }
}

/// A file that could be parsed; its text gives the line numbers of later faults.
struct CheckedFile<'a> {
    path: &'a str,
    text: &'a str,
    parsed: ParsedFile,
}

/// Every fault of the files, each given by path and text.
#[must_use]
pub fn check_files(files: &[(&str, &str)]) -> Vec<FileFault> {
    let mut faults = Vec::new();
    let checked = read_files(files, &mut faults);
    check_services(&checked, &mut faults);
    check_workspaces(&checked, &mut faults);
    faults
}

/// A warning for each runner and machine that an override names but `vms` does not list.
#[must_use]
pub fn check_drains(files: &[(&str, &str)], vms: &[VmRecord]) -> Vec<FileFault> {
    let names = |role: VmRole| -> BTreeSet<&str> {
        vms.iter().filter(|vm| vm.role == role).map(|vm| vm.vm.as_str()).collect()
    };
    let (runners, entries) = (names(VmRole::Runner), names(VmRole::Entry));
    let mut faults = Vec::new();
    for file in &read_files(files, &mut Vec::new()) {
        let ParsedFile::Overrides(overrides) = &file.parsed else { continue };
        let mut check = |field: &str, at: usize, name: &str, known: &BTreeSet<&str>| {
            if !known.contains(name) {
                let field = format!("{field}[{at}]");
                let expected = "a machine of this kind on the VM list";
                faults.push(file.fault(FaultLevel::Warning, &field, name, expected));
            }
        };
        for (at, runner) in overrides.drain.iter().enumerate() {
            check("drain", at, runner.as_str(), &runners);
        }
        for (at, vm) in overrides.drain_vms.iter().enumerate() {
            check("drain_vms", at, vm.as_str(), &entries);
        }
    }
    faults
}

fn read_files<'a>(
    files: &[(&'a str, &'a str)],
    faults: &mut Vec<FileFault>,
) -> Vec<CheckedFile<'a>> {
    let mut checked = Vec::new();
    for (path, text) in files {
        let read = match FileKind::from_str(path) {
            Ok(kind) => ParsedFile::read(kind, path, text).map_err(|error| error.diagnostics),
            Err(error) => Err(vec![SettingsDiagnostic {
                source: Arc::from(*path),
                line: None,
                field: Arc::from(""),
                found: Arc::from("this name"),
                expected: Arc::from(format!("a known kind of file, but it is {error}")),
            }]),
        };
        match read {
            Ok(parsed) => checked.push(CheckedFile { path, text, parsed }),
            Err(found) => {
                let fault = |fault| FileFault { level: FaultLevel::Error, fault };
                faults.extend(found.into_iter().map(fault));
            }
        }
    }
    checked
}

impl CheckedFile<'_> {
    fn fault(&self, level: FaultLevel, field: &str, found: &str, expected: &str) -> FileFault {
        let fault = SettingsDiagnostic {
            source: Arc::from(self.path),
            line: field_line(self.text, field),
            field: Arc::from(field),
            found: Arc::from(format!("\"{found}\"")),
            expected: Arc::from(expected),
        };
        FileFault { level, fault }
    }

    fn error(&self, field: &str, found: &str, expected: &str) -> FileFault {
        self.fault(FaultLevel::Error, field, found, expected)
    }

    fn service(&self) -> Option<&ServiceFile> {
        match &self.parsed {
            ParsedFile::Service(service) => Some(service),
            _ => None,
        }
    }

    fn workspaces(&self) -> Option<&WorkspacesFile> {
        match &self.parsed {
            ParsedFile::Workspaces(workspaces) => Some(workspaces),
            _ => None,
        }
    }
}

/// Each service and each model is defined in one file only.
fn check_services(files: &[CheckedFile<'_>], faults: &mut Vec<FileFault>) {
    let mut services: BTreeMap<&str, &str> = BTreeMap::new();
    let mut models: BTreeMap<&str, &str> = BTreeMap::new();
    for file in files {
        let Some(service) = file.service() else { continue };
        let name = service.service.as_str();
        if let Some(other) = services.insert(name, file.path) {
            let expected = format!("a name that {other} does not have");
            faults.push(file.error("service", name, &expected));
        }
        for (at, model) in service.models.iter().enumerate() {
            let name = model.name.as_str();
            if let Some(other) = models.insert(name, file.path) {
                let expected = format!("a model that {other} does not have");
                faults.push(file.error(&format!("models[{at}].name"), name, &expected));
            }
        }
    }
}

/// Each workspace is defined once, each key belongs to one, and services name only those.
fn check_workspaces(files: &[CheckedFile<'_>], faults: &mut Vec<FileFault>) {
    let mut known: BTreeMap<&str, &str> = BTreeMap::new();
    let mut hashes: BTreeMap<&str, &str> = BTreeMap::new();
    for file in files {
        let rules = file.workspaces().map_or(&[][..], |file| &file.workspaces);
        for (at, keys) in rules.iter().enumerate() {
            let name = keys.workspace.as_str();
            if let Some(other) = known.insert(name, file.path) {
                let expected = format!("a workspace that is not defined in {other}");
                faults.push(file.error(&format!("workspaces[{at}].workspace"), name, &expected));
            }
            for (index, hash) in keys.key_hashes.iter().enumerate() {
                if let Some(other) = hashes.insert(hash, name) {
                    let field = format!("workspaces[{at}].key_hashes[{index}]");
                    let expected = format!("a key that workspace {other} does not have");
                    faults.push(file.error(&field, hash, &expected));
                }
            }
        }
    }
    for file in files {
        let rules = file.service().map_or(&[][..], |service| &service.workspaces);
        for (at, rule) in rules.iter().enumerate() {
            let name = rule.workspace.as_str();
            if !known.contains_key(name) {
                let field = format!("workspaces[{at}].workspace");
                faults.push(file.error(&field, name, &expected_workspace(name, &known)));
            }
        }
    }
}

fn expected_workspace(name: &str, known: &BTreeMap<&str, &str>) -> String {
    let nearest = known.keys().max_by(|a, b| similarity(name, a).total_cmp(&similarity(name, b)));
    match nearest {
        Some(nearest) => format!("a workspace of a *.workspaces.jsonc file, such as {nearest}"),
        None => "a workspace of a *.workspaces.jsonc file; there is none".to_owned(),
    }
}
