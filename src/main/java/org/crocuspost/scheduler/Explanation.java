package org.crocuspost.scheduler;

import java.util.Optional;

import org.crocuspost.task.TaskRecord;

/**
 * Why a task is where it is.
 *
 * @param task the task
 * @param waiting why it waits, if it waits and the reason is known
 */
public record Explanation(TaskRecord task, Optional<JobWait> waiting) {
}
