//! Injects errors into the system calls of the current thread, for unit tests.

use super::SystemCall;
use rustix::io::Errno;
use std::cell::RefCell;
use std::collections::VecDeque;

thread_local! {
    static PLANNED: RefCell<VecDeque<PlannedFault>> = const { RefCell::new(VecDeque::new()) };
}

struct PlannedFault {
    call: SystemCall,
    error: Errno,
    /// Number of calls of this kind that still succeed first.
    after: usize,
    /// Number of calls of this kind that fail after them.
    times: usize,
}

/// Lets the next `times` calls of this kind in this thread fail.
pub fn inject_fault(call: SystemCall, error: Errno, times: usize) {
    inject_fault_after(0, call, error, times);
}

/// Like [`inject_fault`], but lets `after` calls of this kind succeed first.
pub fn inject_fault_after(after: usize, call: SystemCall, error: Errno, times: usize) {
    PLANNED.with_borrow_mut(|planned| planned.push_back(PlannedFault { call, error, after, times }));
}

/// Whether every planned fault has occurred.
pub fn all_triggered() -> bool {
    PLANNED.with_borrow(VecDeque::is_empty)
}

/// Returns the error that is planned for the next call of this kind, if any.
pub(super) fn take_next(call: SystemCall) -> Option<Errno> {
    PLANNED.with_borrow_mut(|planned| {
        let index = planned.iter().position(|fault| fault.call == call)?;
        let fault = &mut planned[index];
        if fault.after > 0 {
            fault.after -= 1;
            return None;
        }
        let error = fault.error;
        fault.times -= 1;
        if fault.times == 0 {
            planned.remove(index);
        }
        Some(error)
    })
}
