package org.crocuspost.scheduler;

import java.util.Optional;

import org.crocuspost.task.TaskRecord;

/**
 * Explains the state of a task.
 *
 * @param task the row of the task
 * @param waiting the reason why the task waits; empty if it does not wait or the reason
 * is not known
 */
public record Explanation(TaskRecord task, Optional<JobWait> waiting) {
}
