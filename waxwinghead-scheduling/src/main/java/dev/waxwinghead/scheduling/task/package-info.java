/** The task state machine, the commands that change it, and the scheduler of one data centre. */
package dev.waxwinghead.scheduling.task;
