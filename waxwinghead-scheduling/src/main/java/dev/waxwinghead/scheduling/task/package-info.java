/** The life of a task: its state machine, the commands that drive it and the scheduler of one data centre. */
package dev.waxwinghead.scheduling.task;
