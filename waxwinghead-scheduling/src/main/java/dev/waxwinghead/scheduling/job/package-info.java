/** Jobs that callers submit: their record, the transitions of their tasks, and the scheduler that places them. */
package dev.waxwinghead.scheduling.job;
