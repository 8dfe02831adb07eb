//! Names, mailboxes and state dumps of the services of one process.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use futures_channel::mpsc;
use serde_json::Value;

use crate::{KernelError, Result};

/// The receiving end of a service's messages.
pub type Mailbox<M> = mpsc::Receiver<M>;

type DumpFn = Rc<dyn Fn() -> Value>;

/// The sending end of a service's mailbox.
pub struct ServiceHandle<M> {
    name: &'static str,
    sender: mpsc::Sender<M>,
}

impl<M> Clone for ServiceHandle<M> {
    fn clone(&self) -> Self {
        Self { name: self.name, sender: self.sender.clone() }
    }
}

impl<M> ServiceHandle<M> {
    /// Puts a message into the mailbox.
    ///
    /// # Errors
    /// [`KernelError::MailboxFull`]; the message is dropped.
    pub fn send(&self, message: M) -> Result<()> {
        // A clone of the sender would get a slot of its own; this keeps the bound.
        let mut sender = self.sender.clone();
        sender.try_send(message).map_err(|_| KernelError::MailboxFull(self.name))
    }
}

/// The registry of one process; clones share it.
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    state: Rc<RefCell<RegistryState>>,
}

#[derive(Default)]
struct RegistryState {
    handles: BTreeMap<&'static str, Box<dyn Any>>,
    dumps: BTreeMap<&'static str, DumpFn>,
}

impl ServiceRegistry {
    /// An empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service; its mailbox holds about `capacity` messages.
    ///
    /// # Errors
    /// [`KernelError::NameTaken`].
    pub fn register<M: 'static>(&self, name: &'static str, capacity: usize) -> Result<Mailbox<M>> {
        let mut state = self.state.borrow_mut();
        if state.handles.contains_key(name) {
            return Err(KernelError::NameTaken(name));
        }
        let (sender, mailbox) = mpsc::channel(capacity);
        state.handles.insert(name, Box::new(ServiceHandle { name, sender }));
        Ok(mailbox)
    }

    /// Finds a service by name.
    ///
    /// # Errors
    /// [`KernelError::NoService`].
    pub fn find<M: 'static>(&self, name: &'static str) -> Result<ServiceHandle<M>> {
        let state = self.state.borrow();
        let handle = state.handles.get(name).and_then(|any| any.downcast_ref::<ServiceHandle<M>>());
        handle.cloned().ok_or(KernelError::NoService(name))
    }

    /// Registers the function that describes a service's state as JSON.
    pub fn register_dump(&self, name: &'static str, dump: impl Fn() -> Value + 'static) {
        self.state.borrow_mut().dumps.insert(name, Rc::new(dump));
    }

    /// The state of every service that registered a dump, by name.
    #[must_use]
    pub fn dump(&self) -> Value {
        let dumps: Vec<(&'static str, DumpFn)> = {
            let state = self.state.borrow();
            state.dumps.iter().map(|(name, dump)| (*name, Rc::clone(dump))).collect()
        };
        dumps.into_iter().map(|(name, dump)| (name.to_owned(), dump())).collect()
    }
}
