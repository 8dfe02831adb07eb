//! From the published files to the plan in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::{LogOffset, ServiceName};

use crate::{ConfigPlan, ConfigState, FileKind, FileVersion, ParsedFile, UnusableFile};

/// What this process knows of one file.
#[derive(Debug, Clone)]
struct FileUse {
    version: LogOffset,
    fault: Option<Arc<str>>,
    usable: Option<(LogOffset, ParsedFile)>,
}

/// Builds plans, and remembers the last usable version of each file.
#[derive(Debug, Clone, Default)]
pub struct PlanBuilder {
    files: BTreeMap<Arc<str>, FileUse>,
}

impl PlanBuilder {
    /// A builder that knows no files.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The plan for `state`; only files whose version changed are read again.
    pub fn build(&mut self, state: &ConfigState) -> ConfigPlan {
        self.files.retain(|path, _| state.files.contains_key(path));
        for (path, file) in &state.files {
            self.read_file(path, file);
        }
        let mut unusable = self.faulty_files();
        let mut holders: BTreeMap<&ServiceName, &Arc<str>> = BTreeMap::new();
        let (mut services, mut workspaces, mut overrides) = (Vec::new(), Vec::new(), Vec::new());
        for (path, file) in &self.files {
            match &file.usable {
                Some((_, ParsedFile::Service(service))) => {
                    if let Some(holder) = holders.get(&service.service) {
                        let reason = format!("service {} stands in {holder}", service.service);
                        let mut conflict = file.unusable(path, &reason, None);
                        // The conflict began with the younger of both versions.
                        conflict.version = file.version.max(self.files[*holder].version);
                        unusable.push(conflict);
                    } else {
                        holders.insert(&service.service, path);
                        services.push(Arc::clone(service));
                    }
                }
                Some((_, ParsedFile::Workspaces(file))) => workspaces.push(file.clone()),
                Some((_, ParsedFile::Overrides(file))) => overrides.push(file.clone()),
                None => (),
            }
        }
        let mut plan = ConfigPlan::new(state.accepted, services, workspaces, overrides);
        let oldest_fault = unusable.iter().map(|file| LogOffset(file.version.0 - 1)).min();
        plan.in_force = oldest_fault.unwrap_or(plan.offset);
        plan.unusable = unusable;
        plan
    }

    fn read_file(&mut self, path: &Arc<str>, file: &FileVersion) {
        let known = self.files.get(path);
        if known.is_some_and(|known| known.version == file.version) {
            return;
        }
        let parsed = match path.parse::<FileKind>() {
            Ok(kind) => ParsedFile::read(kind, path, &file.text).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        let (fault, usable) = match parsed {
            Ok(parsed) => (None, Some((file.version, parsed))),
            Err(fault) => (Some(Arc::from(fault)), known.and_then(|known| known.usable.clone())),
        };
        self.files.insert(Arc::clone(path), FileUse { version: file.version, fault, usable });
    }

    fn faulty_files(&self) -> Vec<UnusableFile> {
        let faulty = |(path, file): (&Arc<str>, &FileUse)| {
            let fault = file.fault.clone()?;
            Some(file.unusable(path, &fault, file.usable.as_ref().map(|(version, _)| *version)))
        };
        self.files.iter().filter_map(faulty).collect()
    }
}

impl FileUse {
    fn unusable(&self, path: &Arc<str>, reason: &str, serving: Option<LogOffset>) -> UnusableFile {
        UnusableFile {
            path: Arc::clone(path),
            version: self.version,
            reason: Arc::from(reason),
            serving,
        }
    }
}
