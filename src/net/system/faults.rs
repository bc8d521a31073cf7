//! The system calls that are to fail in this thread, for unit tests.

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
    /// Calls of this kind that still succeed before it.
    after: usize,
    times: usize,
}

/// The next `times` calls of this kind in this thread fail.
pub fn fail(call: SystemCall, error: Errno, times: usize) {
    fail_after(0, call, error, times);
}

/// The same, once `after` calls of this kind have succeeded.
pub fn fail_after(after: usize, call: SystemCall, error: Errno, times: usize) {
    PLANNED.with_borrow_mut(|planned| planned.push_back(PlannedFault { call, error, after, times }));
}

/// Whether every planned call has failed.
pub fn all_happened() -> bool {
    PLANNED.with_borrow(VecDeque::is_empty)
}

/// The error of the next call of this kind, if it is to fail.
pub(super) fn take(call: SystemCall) -> Option<Errno> {
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
